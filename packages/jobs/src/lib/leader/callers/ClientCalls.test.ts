/** Authentication and ownership: which callers may submit, see and cancel which jobs. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { digestOf } from '../../accounts/ClientAccount'
import { LeaderSubject } from '../../testing/LeaderSubject'
import { accountNamed, jobOf, QUEUE } from '../../testing/samples'
import type { CellReply } from './calls'

const ID = '00000000000000aa'
const OPEN = { name: 'open', prefix: '/open/', open: true }

/** A cell with two accounts, a queue that requires a key and an open one. */
function subjectWithAccounts(): LeaderSubject {
	const subject = new LeaderSubject()
	subject.accounts = [accountNamed('town'), accountNamed('city')]
	subject.configure({}, OPEN)
	return subject
}

function show(subject: LeaderSubject, key?: string, queue = QUEUE.name): CellReply['kind'] {
	const keyDigest = key === undefined ? undefined : digestOf(key)
	return subject.call({ kind: 'show', to: { queue, id: ID, keyDigest } })!.kind
}

function cancel(subject: LeaderSubject, key?: string, queue = QUEUE.name): CellReply['kind'] {
	const keyDigest = key === undefined ? undefined : digestOf(key)
	return subject.call({ kind: 'cancel', to: { queue, id: ID, keyDigest } })!.kind
}

test('a cell without accounts requires no key', () => {
	const subject = new LeaderSubject()
	assert.equal(subject.submit(ID, jobOf({}))?.kind, 'accepted')
	assert.equal(show(subject, 'ANY'), 'state')
})

test('a call without a valid key is unauthorized, and its job never runs', () => {
	const subject = subjectWithAccounts()
	subject.heartbeat('w1')
	for (const key of [undefined, '', 'town', 'STRANGER']) {
		assert.equal(subject.submit(ID, jobOf({}), QUEUE.name, key)?.kind, 'unauthorized')
	}
	subject.run(500, 'w1')
	assert.equal(subject.startCount, 0)
	assert.equal(show(subject), 'unauthorized')
	assert.equal(cancel(subject), 'unauthorized')
})

test('an unknown queue is reported before the key is checked', () => {
	const subject = subjectWithAccounts()
	assert.equal(subject.submit(ID, jobOf({}), 'nowhere')?.kind, 'no-such-queue')
})

test('a job can be shown and cancelled by its own account only', () => {
	const subject = subjectWithAccounts()
	assert.equal(subject.submit(ID, jobOf({}), QUEUE.name, 'TOWN')?.kind, 'accepted')
	assert.equal(show(subject, 'TOWN'), 'state')
	assert.equal(show(subject, 'CITY'), 'no-such-job')
	assert.equal(cancel(subject, 'CITY'), 'no-such-job')
	assert.equal(subject.state.jobs.find(ID)?.state, 'queued')
	assert.equal(cancel(subject, 'TOWN'), 'noted')
})

test('an open queue gives no access to the jobs of a queue with accounts', () => {
	const subject = subjectWithAccounts()
	subject.submit(ID, jobOf({}), QUEUE.name, 'TOWN')
	assert.equal(show(subject, undefined, OPEN.name), 'no-such-job')
	assert.equal(cancel(subject, undefined, OPEN.name), 'no-such-job')
})

test('jobs of an open queue belong to no account', () => {
	const subject = subjectWithAccounts()
	assert.equal(subject.submit(ID, jobOf({}), OPEN.name)?.kind, 'accepted')
	assert.equal(subject.state.jobs.find(ID)?.account, undefined)
	assert.equal(show(subject, undefined, OPEN.name), 'state')
})

test('the id of a job is taken for all accounts but its own', () => {
	const subject = subjectWithAccounts()
	subject.proposals.held = true
	subject.submit(ID, jobOf({}), QUEUE.name, 'TOWN')
	assert.equal(subject.submit(ID, jobOf({}), QUEUE.name, 'CITY')?.kind, 'id-taken')
	subject.proposals.held = false
	subject.proposals.commit()
	assert.equal(subject.submit(ID, jobOf({}), QUEUE.name, 'CITY')?.kind, 'id-taken')
	assert.equal(subject.submit(ID, jobOf({}), QUEUE.name, 'TOWN')?.kind, 'accepted')
	assert.equal(subject.state.jobs.find(ID)?.account?.name, 'town')
})

test('keys change with the configuration; a job stays with its account, also under a new leader', () => {
	const subject = subjectWithAccounts()
	subject.submit(ID, jobOf({}), QUEUE.name, 'TOWN')
	subject.accounts = [accountNamed('town', { keyDigests: [digestOf('FRESH')] })]
	subject.configure({}, OPEN)
	assert.equal(show(subject, 'TOWN'), 'unauthorized')
	assert.equal(show(subject, 'CITY'), 'unauthorized')
	assert.equal(show(subject, 'FRESH'), 'state')
	subject.lead()
	assert.equal(show(subject, 'TOWN'), 'unauthorized')
	assert.equal(show(subject, 'FRESH'), 'state')
})

test('jobs that an account submits beyond its rate stay marked', () => {
	const subject = subjectWithAccounts()
	subject.accounts = [accountNamed('town', { weight: 1 })]
	subject.configure({})
	subject.submit(ID, jobOf({}), QUEUE.name, 'TOWN')
	subject.submit('00000000000000bb', jobOf({}), QUEUE.name, 'TOWN')
	subject.run(1000)
	subject.submit('00000000000000cc', jobOf({}), QUEUE.name, 'TOWN')
	const marks = [...subject.state.jobs.all()].map((job) => job.beyondRate === true)
	assert.deepEqual(marks, [false, true, false])
})

test('a gang that exceeds its quota even when it runs alone is refused at once', () => {
	const subject = new LeaderSubject()
	subject.accounts = [accountNamed('town', { quota: { cpu: 2000 } })]
	subject.configure({})
	const gang = (count: number) => jobOf({ count, gang: true })
	assert.equal(subject.submit(ID, gang(4), QUEUE.name, 'TOWN')?.kind, 'impossible')
	assert.equal(subject.state.jobs.size, 0)
	assert.equal(subject.submit(ID, gang(3), QUEUE.name, 'TOWN')?.kind, 'accepted')
})

test('in a full cell jobs beyond the rate of their account start after later jobs of other accounts', () => {
	const subject = new LeaderSubject()
	subject.accounts = [accountNamed('town', { weight: 1 }), accountNamed('city', { weight: 1 })]
	subject.configure({})
	subject.heartbeat('w1')
	const whole = jobOf({ need: { cpu: 4000, memory: 512, accelerators: 0 } })
	subject.submit(ID, whole, QUEUE.name, 'TOWN')
	subject.submit('00000000000000bb', whole, QUEUE.name, 'TOWN')
	subject.submit('00000000000000cc', whole, QUEUE.name, 'CITY')
	subject.run(200, 'w1')
	const started: string[] = []
	for (let round = 0; round < 3; round++) {
		const [{ task }] = subject.worker('w1').running
		started.push(task.split('.')[0])
		subject.worker('w1').end(task, 'done')
		subject.run(1500, 'w1')
	}
	assert.deepEqual(started, [ID, '00000000000000cc', '00000000000000bb'])
})

const CALL = { instance: 'entry', number: 7 }

function submitNamed(subject: LeaderSubject, key: string, call = CALL): CellReply | undefined {
	const to = { queue: QUEUE.name, id: ID, keyDigest: digestOf(key) }
	return subject.call({ kind: 'submit', to, job: jobOf({}), call })
}

test('an earlier try of a refused call that arrives after the refusal is refused too, although it could be accepted by then', () => {
	const subject = subjectWithAccounts()
	const refusal = { kind: 'settled', refusal: { kind: 'unauthorized' } }
	assert.deepEqual(submitNamed(subject, 'VILLAGE'), refusal)
	subject.accounts = [accountNamed('town'), accountNamed('village')]
	subject.configure({}, OPEN)
	assert.deepEqual(submitNamed(subject, 'VILLAGE'), refusal)
	assert.equal(subject.state.jobs.find(ID), undefined)
	assert.equal(submitNamed(subject, 'VILLAGE', { ...CALL, number: 8 })?.kind, 'accepted')
})

test('a refusal is not final where an earlier try was accepted and its key was removed since', () => {
	const subject = subjectWithAccounts()
	assert.equal(submitNamed(subject, 'TOWN')?.kind, 'accepted')
	subject.accounts = [accountNamed('city')]
	subject.configure({}, OPEN)
	assert.deepEqual(submitNamed(subject, 'TOWN'), { kind: 'unauthorized' })
})
