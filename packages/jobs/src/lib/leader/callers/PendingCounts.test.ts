/** The number of pending jobs that is returned to clients. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { LeaderSubject } from '../../testing/LeaderSubject'
import { jobOf, QUEUE } from '../../testing/samples'

const ID = '00000000000000aa'

function pendingOf(subject: LeaderSubject): number {
	const reply = subject.call({ kind: 'show', to: { queue: QUEUE.name, id: '' } })
	assert.equal(reply?.kind, 'pending')
	return reply.count
}

test('a job is pending until it runs on a worker', () => {
	const subject = new LeaderSubject()
	subject.submit(ID, jobOf({}))
	assert.equal(pendingOf(subject), 1)
	subject.heartbeat('w1')
	subject.run(500, 'w1')
	assert.equal(pendingOf(subject), 0)
})

// Guards against a count of zero while starts are decided but reach no worker.
test('a job whose start has not reached a worker is still pending', () => {
	const subject = new LeaderSubject()
	subject.heartbeat('w1')
	subject.run(500, 'w1')
	subject.worker('w1').isUnresponsive = true
	subject.submit(ID, jobOf({}))
	subject.run(300)
	assert.equal(pendingOf(subject), 1)
})

test('a job that has started does not become pending again under the next leader', () => {
	const subject = new LeaderSubject()
	subject.heartbeat('w1')
	subject.submit(ID, jobOf({ count: 2 }))
	subject.run(500, 'w1')
	subject.lead()
	subject.run(500, 'w1')
	assert.equal(pendingOf(subject), 0)
})
