import assert from 'node:assert/strict'
import { test } from 'node:test'
import { LeaderSubject } from '../testing/LeaderSubject'
import { jobOf } from '../testing/samples'

const ID = '00000000000000aa'
const OTHER = '00000000000000bb'
/** Milliseconds within which a stalled run is detected and stopped. */
const DETECTION_MS = 3000
const QUICK = { expectedTime: 2000, checkpoints: true }

function subjectOnOneWorker(changes: object = {}): LeaderSubject {
	const subject = new LeaderSubject()
	subject.heartbeat('w1')
	for (const id of ['w1', 'w2']) subject.worker(id).progressPerPoll = 20
	subject.submit(ID, jobOf({ ...QUICK, ...changes }))
	subject.run(1100, 'w1')
	subject.heartbeat('w2')
	return subject
}

test('a stalled run on a worker that answers is moved, and the worker gets no new work', () => {
	const subject = subjectOnOneWorker()
	subject.worker('w1').progressPerPoll = 0
	subject.run(DETECTION_MS, 'w1', 'w2')
	assert.equal(subject.worker('w1').stops.length, 1)
	assert.equal(subject.worker('w2').starts.length, 1)
	subject.submit(OTHER, jobOf({ count: 2 }))
	subject.run(100, 'w1', 'w2')
	assert.equal(subject.worker('w1').starts.length, 1)
})

test('lasting tasks, gangs, tasks without a declared time and runs that make progress are not moved', () => {
	// Members of a gang wait for each other before and after their work, also on healthy workers.
	for (const changes of [{ lasting: true }, { expectedTime: 0 }, { gang: true }]) {
		const subject = subjectOnOneWorker(changes)
		subject.worker('w1').progressPerPoll = 0
		subject.run(DETECTION_MS, 'w1', 'w2')
		assert.equal(subject.worker('w1').stops.length, 0)
	}
	const subject = subjectOnOneWorker({ expectedTime: 5000 })
	subject.worker('w1').progressPerPoll = 8
	subject.run(DETECTION_MS, 'w1', 'w2')
	assert.equal(subject.worker('w1').stops.length, 0)
})

test('a task whose declared time is far off is moved a few times at most', () => {
	const subject = subjectOnOneWorker()
	for (const id of ['w1', 'w2']) subject.worker(id).progressPerPoll = 0
	subject.run(DETECTION_MS * 20, 'w1', 'w2')
	const starts = subject.worker('w1').starts.length + subject.worker('w2').starts.length
	assert.ok(starts <= 4, `${starts} starts`)
})
