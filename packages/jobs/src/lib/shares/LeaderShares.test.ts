/**
 * A full service, one of whose accounts sends seven times as much as the others, across the loss of
 * its leader.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { LeaderSubject } from '../testing/LeaderSubject'
import { accountNamed, jobOf, QUEUE } from '../testing/samples'

const OVERLOAD = { overload: true, shares: true }
const WORKERS = ['w1', 'w2']
const SERVICE = QUEUE.service

function idOf(number: number): string {
	return number.toString(16).padStart(16, '0')
}

/**
 * Two workers of four processors, filled with one account's tasks while that account and another
 * one wait.
 */
function fullSubject(policy = OVERLOAD, weight = 100): LeaderSubject {
	const subject = new LeaderSubject()
	subject.policy = policy
	subject.lead()
	subject.accounts = [accountNamed('pressing', { weight }), accountNamed('other')]
	subject.configure({ latencyTarget: 200_000 })
	for (const id of WORKERS) subject.heartbeat(id)
	for (let number = 1; number <= 7; number++) {
		subject.submit(idOf(number), jobOf({ count: 2 }), QUEUE.name, 'PRESSING')
	}
	subject.run(300, ...WORKERS)
	subject.submit(idOf(99), jobOf({ count: 6 }), QUEUE.name, 'OTHER')
	subject.run(7000, ...WORKERS)
	return subject
}

function usesOf(subject: LeaderSubject, name: string) {
	const reply = subject.call({ kind: 'list-accounts' })
	assert.ok(reply?.kind === 'accounts')
	return reply.accounts.find((account) => account.name === name)?.services ?? []
}

function notesIn(subject: LeaderSubject) {
	return subject.proposals.committed.filter(({ kind }) => kind === 'shares')
}

test('released capacity goes to the waiting account that is below its share, whatever was submitted first', () => {
	const subject = fullSubject()
	const [use] = usesOf(subject, 'pressing')
	assert.equal(use.over, true)
	assert.ok(subject.logLines.some((line) => line.includes('share-exceeded')))
	const worker = subject.worker('w1')
	worker.end(worker.running[0].task, 'done')
	subject.run(1000, ...WORKERS)
	assert.ok(worker.running.some(({ task }) => task.startsWith(idOf(99))))
	subject.call({ kind: 'cancel', to: { id: idOf(99) } })
	subject.run(1000, ...WORKERS)
	assert.ok(subject.logLines.some((line) => line.includes('share-regained')))
})

test('the next leader continues with recent usage, which is replicated at most every three seconds', () => {
	const subject = fullSubject()
	const notes = notesIn(subject).length
	assert.ok(notes >= 1 && notes <= 3, `${notes} notes`)
	const [before] = usesOf(subject, 'pressing')
	subject.state.restore(subject.state.snapshot())
	subject.clock.advance(1000)
	subject.lead()
	subject.run(200, ...WORKERS)
	const [after] = usesOf(subject, 'pressing')
	assert.equal(after.service, SERVICE)
	assert.equal(after.held, before.held)
	assert.ok(after.had >= before.had && after.had <= before.had + 0.1, `${before.had} ${after.had}`)
	assert.equal(after.over, true)
})

test('jobs beyond the sending rate still count after a change of leader', () => {
	const subject = new LeaderSubject()
	subject.policy = OVERLOAD
	subject.lead()
	subject.accounts = [accountNamed('pressing', { weight: 3 })]
	subject.configure({})
	const send = (number: number): boolean | undefined => {
		subject.submit(idOf(number), jobOf({}), QUEUE.name, 'PRESSING')
		return subject.state.jobs.find(idOf(number))?.beyondRate
	}
	assert.deepEqual([1, 2, 3, 4].map(send), [undefined, undefined, undefined, true])
	subject.lead()
	assert.equal(send(5), true)
})

test('nothing is replicated or logged if the settings disable shares', () => {
	const subject = fullSubject({ overload: false, shares: false })
	assert.deepEqual(usesOf(subject, 'pressing'), [])
	assert.deepEqual(notesIn(subject), [])
	assert.ok(!subject.logLines.some((line) => line.includes('share-')))
})

test('accounts without a weight have no shares', () => {
	const subject = new LeaderSubject()
	subject.policy = OVERLOAD
	subject.lead()
	subject.accounts = [accountNamed('town', { weight: 0 })]
	subject.configure({})
	subject.submit(idOf(1), jobOf({ count: 20 }), QUEUE.name, 'TOWN')
	subject.run(5000, ...WORKERS)
	assert.deepEqual(notesIn(subject), [])
})
