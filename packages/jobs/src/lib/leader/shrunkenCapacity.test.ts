/**
 * The capacity that a worker reports may shrink and grow while it runs. Nothing is started beyond
 * the reduced capacity, and running tasks continue.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { LeaderSubject } from '../testing/LeaderSubject'
import { jobOf } from '../testing/samples'

const FIRST = '00000000000000aa'
const SECOND = '00000000000000bb'
const WHOLE = { cpu: 4000, memory: 8192, accelerators: 0 }
const HALF = { cpu: 2000, memory: 8192, accelerators: 0 }
const NOTHING_LEFT = { cpu: 0, memory: 0, accelerators: 0 }

function startsOf(subject: LeaderSubject, worker: string, job: string): number {
	return subject.worker(worker).starts.filter(({ task }) => task.startsWith(job)).length
}

test('a worker whose capacity has shrunk below its use gets no work and keeps its runs', () => {
	const subject = new LeaderSubject()
	subject.heartbeat('w1')
	subject.submit(FIRST, jobOf({ count: 3 }))
	subject.run(200, 'w1')
	subject.heartbeat('w1', { capacity: HALF })
	subject.submit(SECOND, jobOf({}))
	subject.run(1500, 'w1')
	assert.equal(startsOf(subject, 'w1', SECOND), 0)
	assert.equal(subject.worker('w1').running.length, 3)
	assert.equal(subject.worker('w1').stops.length, 0)
	subject.heartbeat('w1', { capacity: WHOLE })
	subject.run(300, 'w1')
	assert.equal(startsOf(subject, 'w1', SECOND), 1)
})

test('a new leader adopts the runs of a worker that runs more than its capacity', () => {
	const subject = new LeaderSubject()
	subject.heartbeat('w1')
	subject.submit(FIRST, jobOf({ count: 4 }))
	subject.run(200, 'w1')
	subject.heartbeat('w1', { capacity: HALF })
	subject.lead()
	subject.run(1500, 'w1')
	assert.equal(subject.worker('w1').running.length, 4)
	subject.worker('w1').end(`${FIRST}.0.0.0`, 'done')
	subject.submit(SECOND, jobOf({}))
	subject.run(1500, 'w1')
	assert.equal(startsOf(subject, 'w1', SECOND), 0)
})

test('a start without an answer is not sent again to a worker whose capacity is gone', () => {
	const subject = new LeaderSubject()
	subject.heartbeat('w1')
	subject.worker('w1').startResults = [{ kind: 'not-carried' }]
	subject.worker('w1').notCarried = 1
	subject.worker('w1').isUnresponsive = true
	subject.submit(FIRST, jobOf({}))
	subject.run(100, 'w1')
	subject.worker('w1').isUnresponsive = false
	subject.heartbeat('w1', { capacity: NOTHING_LEFT })
	const before = startsOf(subject, 'w1', FIRST)
	subject.heartbeat('w2')
	subject.run(3000, 'w1', 'w2')
	assert.equal(startsOf(subject, 'w1', FIRST), before)
	assert.equal(subject.worker('w2').running.length, 1)
})

test('a gang is not started in part when the worker of one member has lost its capacity', () => {
	const subject = new LeaderSubject()
	for (const id of ['w1', 'w2']) {
		subject.heartbeat(id)
		// Members make progress only after all of them are present.
		subject.worker(id).progressPerPoll = 0
	}
	subject.worker('w2').isUnresponsive = true
	subject.submit(FIRST, jobOf({ count: 6, gang: true }))
	subject.run(100, 'w1', 'w2')
	subject.worker('w2').isUnresponsive = false
	subject.heartbeat('w2', { capacity: NOTHING_LEFT })
	subject.run(3000, 'w1', 'w2')
	assert.equal(subject.worker('w1').running.length, 0)
	assert.equal(subject.worker('w2').running.length, 0)
	subject.heartbeat('w2', { capacity: WHOLE })
	subject.run(1000, 'w1', 'w2')
	const attempts = ['w1', 'w2'].flatMap((id) => subject.worker(id).running)
	assert.deepEqual(
		attempts.map(({ attempt }) => attempt),
		Array<number>(6).fill(2)
	)
})

test('a late heartbeat does not restore capacity that is gone, also under another leader', () => {
	for (const change of [() => undefined, (subject: LeaderSubject) => subject.lead()]) {
		const subject = new LeaderSubject()
		subject.heartbeat('w1')
		const late = subject.nextHeartbeat('w1')
		subject.heartbeat('w1', { capacity: NOTHING_LEFT })
		change(subject)
		subject.call({ kind: 'heartbeat', heartbeat: late })
		subject.submit(FIRST, jobOf({}))
		subject.run(900)
		assert.equal(startsOf(subject, 'w1', FIRST), 0)
	}
})

test('a large task keeps its claim on a worker whose capacity is too small for now', () => {
	const subject = new LeaderSubject()
	subject.heartbeat('w1')
	subject.heartbeat('w1', { capacity: HALF })
	subject.submit(FIRST, jobOf({ need: { cpu: 3000, memory: 512, accelerators: 0 } }))
	subject.run(500, 'w1')
	assert.equal(startsOf(subject, 'w1', FIRST), 0)
	subject.heartbeat('w1', { capacity: WHOLE })
	subject.run(300, 'w1')
	assert.equal(startsOf(subject, 'w1', FIRST), 1)
})

test('a worker whose only recent heartbeat was delayed in transit gets no new work', () => {
	const subject = new LeaderSubject()
	subject.heartbeat('w1')
	subject.submit(SECOND, jobOf({}))
	subject.run(1500, 'w1')
	const held = subject.nextHeartbeat('w1')
	subject.run(6000)
	subject.call({ kind: 'heartbeat', heartbeat: held })
	subject.submit(FIRST, jobOf({}))
	subject.run(500)
	assert.equal(startsOf(subject, 'w1', FIRST), 0)
	subject.heartbeat('w1')
	subject.run(200)
	assert.equal(startsOf(subject, 'w1', FIRST), 1)
})

test('the next leader knows which workers lack heartbeats, and gives them no work before their next heartbeat', () => {
	const subject = new LeaderSubject()
	subject.heartbeat('w1')
	subject.run(3000)
	subject.lead()
	subject.submit(FIRST, jobOf({}))
	subject.run(1000)
	assert.equal(startsOf(subject, 'w1', FIRST), 0)
	subject.heartbeat('w1')
	subject.run(200)
	assert.equal(startsOf(subject, 'w1', FIRST), 1)
})
