/** The number of pending jobs that is returned to clients. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Refusal } from '../ports'
import { LeaderSubject } from '../../testing/LeaderSubject'
import { jobOf, QUEUE } from '../../testing/samples'
import { CellState } from '../../state/CellState'

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

const TASK = `${ID}.0.0.0`
/** Longer than any lease, so that runs on an unreachable worker are abandoned. */
const ABANDONED_MS = 6000

function stateOf(subject: LeaderSubject): string | undefined {
	const reply = subject.call({ kind: 'show', to: { queue: QUEUE.name, id: ID } })
	return reply?.kind === 'state' ? reply.state : undefined
}

/** A job was decided for a worker that was cut off just before. */
function cutOff(): LeaderSubject {
	const subject = new LeaderSubject()
	subject.heartbeat('w1')
	subject.run(500, 'w1')
	subject.worker('w1').isUnresponsive = true
	subject.submit(ID, jobOf({}))
	return subject
}

// Guards against jobs that are given as begun because their start was given up: the order never
// reached its worker (review/8, MIXED).
test('a job whose start was abandoned without an answer is still pending', () => {
	const subject = cutOff()
	subject.run(ABANDONED_MS)
	assert.deepEqual(subject.state.jobs.locate(TASK)?.task.lost, [1])
	assert.equal(pendingOf(subject), 1)
	assert.equal(stateOf(subject), 'queued')
})

// Guards against a new leader that takes what its predecessor decided for begun.
test('a job whose start has not reached a worker is pending under the next leader', () => {
	const subject = cutOff()
	subject.run(300)
	subject.lead()
	for (const span of [300, ABANDONED_MS]) {
		subject.run(span)
		assert.equal(pendingOf(subject), 1)
	}
})

// Guards against a job that is given as pending although a worker had confirmed its start.
test('a job that has begun is not pending once its worker is lost and the leader changes', () => {
	const subject = new LeaderSubject()
	subject.heartbeat('w1')
	subject.submit(ID, jobOf({}))
	subject.run(1000, 'w1')
	subject.worker('w1').isUnresponsive = true
	subject.lead()
	for (const span of [300, ABANDONED_MS]) {
		subject.run(span)
		assert.equal(pendingOf(subject), 0)
		assert.equal(stateOf(subject), 'running')
	}
})

// Guards against a job that runs without being known to: its start was carried out, the answer was
// lost, and the run had been abandoned when the worker listed it.
test('a job whose abandoned run is listed by its worker has begun', () => {
	const subject = cutOff()
	subject.run(ABANDONED_MS)
	const worker = subject.worker('w1')
	worker.running = [{ task: TASK, attempt: 1, checkpoint: '', percent: 0, measure: 0 }]
	worker.isUnresponsive = false
	worker.startResult = { kind: 'refused', reason: Refusal.LeaseExpired }
	subject.run(1000)
	assert.equal(pendingOf(subject), 0)
})

test('a job whose run is listed has begun, though each answer to its start was lost', () => {
	const subject = new LeaderSubject()
	subject.heartbeat('w1')
	subject.run(500, 'w1')
	const worker = subject.worker('w1')
	worker.startResult = { kind: 'unknown', message: 'no answer' }
	subject.submit(ID, jobOf({}))
	worker.running = [{ task: TASK, attempt: 1, checkpoint: '', percent: 0, measure: 0 }]
	subject.run(1000, 'w1')
	assert.equal(pendingOf(subject), 0)
})

// Guards against a job that is given as begun because its worker has refused it.
test('a job whose start was refused is still pending', () => {
	const subject = new LeaderSubject()
	subject.heartbeat('w1')
	subject.worker('w1').startResult = { kind: 'refused', reason: Refusal.NoCapacity }
	subject.submit(ID, jobOf({}))
	subject.run(1000, 'w1')
	assert.equal(pendingOf(subject), 1)
	assert.equal(stateOf(subject), 'queued')
})

test('what operators are told of a job agrees with the count', () => {
	const subject = cutOff()
	subject.run(ABANDONED_MS)
	const listed = subject.call({ kind: 'list-jobs', filter: { state: 'queued', most: 5 } })
	assert.deepEqual(listed?.kind === 'jobs' && listed.jobs.map(({ id }) => id), [ID])
	const explained = subject.call({ kind: 'explain-job', id: ID })
	assert.equal(explained?.kind === 'explanation' && explained.explanation.state, 'queued')
})

test('that a job has begun is in snapshots', () => {
	const subject = new LeaderSubject()
	subject.heartbeat('w1')
	subject.submit(ID, jobOf({}))
	subject.run(1000, 'w1')
	const restored = new CellState()
	restored.restore(subject.state.snapshot())
	assert.equal(restored.jobs.find(ID)?.begun, true)
})
