/** No account exceeds its quota, whatever happens to its runs and to the leader. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { RunEnd } from '../records/Job'
import { LeaderSubject } from '../testing/LeaderSubject'
import { accountNamed, jobOf, QUEUE } from '../testing/samples'
import { DEFAULT_LEADER_TIMING } from './LeaderTiming'

const ID = '00000000000000aa'
const OTHER = '00000000000000bb'
const LEASE_OVER = DEFAULT_LEADER_TIMING.lease * 1.03 + 1000
/** A quota of two tasks of one processor. */
const TWO = { cpu: 2000 }

/** Two workers of four processors, and an account with a quota of two processors. */
function subjectWithQuota(quota = TWO): LeaderSubject {
	const subject = new LeaderSubject()
	subject.accounts = [accountNamed('town', { quota }), accountNamed('city')]
	subject.configure({})
	subject.heartbeat('w1')
	subject.heartbeat('w2')
	return subject
}

function runningOf(subject: LeaderSubject): number {
	return ['w1', 'w2'].reduce((sum, id) => sum + subject.worker(id).running.length, 0)
}

test('an account starts no more than its quota, which does not delay another account', () => {
	const subject = subjectWithQuota()
	subject.submit(ID, jobOf({ count: 5 }), QUEUE.name, 'TOWN')
	subject.submit(OTHER, jobOf({ count: 3 }), QUEUE.name, 'CITY')
	subject.run(1000, 'w1', 'w2')
	assert.equal(runningOf(subject), 5)
})

test('a run that has ended frees its part of the quota', () => {
	const subject = subjectWithQuota()
	subject.submit(ID, jobOf({ count: 3 }), QUEUE.name, 'TOWN')
	subject.run(300, 'w1', 'w2')
	const [ran] = [...subject.worker('w1').running, ...subject.worker('w2').running]
	for (const id of ['w1', 'w2']) {
		if (subject.worker(id).running.includes(ran)) subject.worker(id).end(ran.task, RunEnd.Done)
	}
	subject.run(2000, 'w1', 'w2')
	assert.equal(subject.startCount, 3)
	assert.equal(runningOf(subject), 2)
})

test('a new leader counts the runs of the account before it orders any start', () => {
	const subject = subjectWithQuota()
	subject.submit(ID, jobOf({ count: 5 }), QUEUE.name, 'TOWN')
	subject.run(300, 'w1', 'w2')
	subject.lead()
	subject.run(2000, 'w1', 'w2')
	assert.equal(subject.startCount, 2)
})

test('runs on an unreachable worker count until its lease has certainly expired', () => {
	const subject = subjectWithQuota()
	subject.submit(ID, jobOf({ count: 3, mostPerWorker: 1 }), QUEUE.name, 'TOWN')
	subject.run(300, 'w1', 'w2')
	subject.worker('w1').isUnresponsive = true
	subject.heartbeat('w3')
	subject.run(2500, 'w2', 'w3')
	assert.equal(subject.worker('w3').starts.length, 0)
	subject.run(LEASE_OVER, 'w2', 'w3')
	assert.equal(subject.worker('w3').starts.length, 1)
})

test('an abandoned copy counts while it may still run', () => {
	const subject = subjectWithQuota({ cpu: 1000 })
	subject.submit(ID, jobOf({ copies: true }), QUEUE.name, 'TOWN')
	subject.run(300, 'w1', 'w2')
	const [silent, sound] = subject.worker('w1').running.length > 0 ? ['w1', 'w2'] : ['w2', 'w1']
	subject.worker(silent).isUnresponsive = true
	subject.run(2500, sound)
	assert.equal(subject.worker(sound).starts.length, 0)
	subject.run(LEASE_OVER, sound)
	assert.equal(subject.worker(sound).starts.length, 1)
})

test('a quota reduced below the current use stops no runs and starts none', () => {
	const subject = subjectWithQuota({ cpu: 4000 })
	subject.submit(ID, jobOf({ count: 6 }), QUEUE.name, 'TOWN')
	subject.run(300, 'w1', 'w2')
	subject.accounts = [accountNamed('town', { quota: { cpu: 1000 } })]
	subject.configure({})
	subject.run(2000, 'w1', 'w2')
	assert.equal(runningOf(subject), 4)
	assert.equal(subject.startCount, 4)
})

test('a job counts against the terms that it was accepted under when its account is gone', () => {
	const subject = subjectWithQuota()
	subject.submit(ID, jobOf({ count: 3 }), QUEUE.name, 'TOWN')
	subject.accounts = []
	subject.configure({})
	subject.lead()
	subject.run(2000, 'w1', 'w2')
	assert.equal(runningOf(subject), 2)
})

test('a gang starts only when the quota allows all of its members', () => {
	const subject = subjectWithQuota({ cpu: 3000 })
	subject.submit(ID, jobOf({}), QUEUE.name, 'TOWN')
	subject.submit(OTHER, jobOf({ count: 3, gang: true }), QUEUE.name, 'TOWN')
	subject.run(500, 'w1', 'w2')
	assert.equal(runningOf(subject), 1)
	for (const id of ['w1', 'w2']) subject.worker(id).end(`${ID}.0.0.0`, RunEnd.Done)
	subject.run(2000, 'w1', 'w2')
	assert.equal(runningOf(subject), 3)
})

test('a task that is larger than the whole quota runs alone', () => {
	const subject = subjectWithQuota({ cpu: 500 })
	subject.submit(ID, jobOf({ count: 2 }), QUEUE.name, 'TOWN')
	subject.run(1000, 'w1', 'w2')
	assert.equal(runningOf(subject), 1)
})

test('work that waits for the quota reports that reason', () => {
	const subject = subjectWithQuota()
	subject.submit(ID, jobOf({ count: 3 }), QUEUE.name, 'TOWN')
	subject.run(500, 'w1', 'w2')
	const reply = subject.call({ kind: 'explain-job', id: ID })
	assert.ok(reply?.kind === 'explanation')
	assert.match(reply.explanation.steps[0].reason, /account town .* quota/)
	const accounts = subject.call({ kind: 'list-accounts' })
	assert.ok(accounts?.kind === 'accounts')
	const town = accounts.accounts.find(({ name }) => name === 'town')
	assert.deepEqual([town?.used.cpu, town?.jobs, town?.waiting], [2000, 1, 1])
})

test('a copy that an earlier leader abandoned counts while it may still run', () => {
	const subject = subjectWithQuota({ cpu: 1000 })
	subject.submit(ID, jobOf({ copies: true }), QUEUE.name, 'TOWN')
	subject.run(300, 'w1', 'w2')
	const [silent, sound] = subject.worker('w1').running.length > 0 ? ['w1', 'w2'] : ['w2', 'w1']
	subject.worker(silent).isUnresponsive = true
	subject.run(2000, sound)
	subject.lead()
	subject.run(1500, sound)
	assert.equal(subject.worker(sound).starts.length, 0)
	subject.run(LEASE_OVER, sound)
	assert.equal(subject.worker(sound).starts.length, 1)
})
