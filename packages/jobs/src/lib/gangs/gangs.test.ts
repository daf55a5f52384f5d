/**
 * Tests gangs with short-lived tickets: scarce capacity, slow or lost answers, members that end,
 * and workers that are lost.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { JobState, type Step } from '../records/Job'
import { LeaderSubject } from '../testing/LeaderSubject'
import { jobOf, STEP } from '../testing/samples'
import { shouldPlanGang } from './shouldPlanGang'
import { splitQuestion } from './splitQuestion'

const GANG = '00000000000000aa'
const OTHER = '00000000000000bb'
const SHORT = { base: 560, each: 8, valid: 2000 }
const WORKERS = ['w1', 'w2', 'w3', 'w4', 'w5', 'w6']

function subjectWith(workers: readonly string[], advice = SHORT): LeaderSubject {
	const subject = new LeaderSubject({ advice, latencyTarget: 60_000 })
	subject.adviceDelay = ({ workers: named }) => advice.base + advice.each * named.length
	subject.instances = Array.from({ length: 8 }, (_, number) => `instance-${number}`)
	for (const id of workers) subject.heartbeat(id)
	return subject
}

function runningOf(subject: LeaderSubject, workers: readonly string[], job: string): number {
	return workers
		.flatMap((id) => subject.worker(id).running)
		.filter(({ task }) => task.startsWith(job)).length
}

function gangOf(count: number, changes: Partial<Step> = {}): Partial<Step> {
	return { count, gang: true, checkpoints: true, ...changes }
}

test('only gangs for which a full question takes more than half of the ticket lifetime are planned', () => {
	const queueWith = (advice?: typeof SHORT) => ({
		...new LeaderSubject().state.configuration!.queues[0],
		advice,
	})
	const gang = { ...STEP, gang: true }
	assert.equal(shouldPlanGang({ step: gang, queue: queueWith(SHORT) }), true)
	assert.equal(shouldPlanGang({ step: STEP, queue: queueWith(SHORT) }), false)
	assert.equal(shouldPlanGang({ step: gang, queue: queueWith({ ...SHORT, each: 4 }) }), false)
	assert.equal(shouldPlanGang({ step: gang, queue: queueWith() }), false)
})

test('a long question is split into parts that are asked in parallel', () => {
	const named = Array.from({ length: 120 }, (_, number) => `w${number}`)
	const parts = splitQuestion(named, SHORT)
	assert.deepEqual(parts.flat(), named)
	assert.deepEqual(
		parts.map(({ length }) => length),
		[60, 60]
	)
	assert.deepEqual(splitQuestion(['w1'], SHORT), [['w1']])
	assert.deepEqual(splitQuestion([], SHORT), [])
})

test('tickets of a gang that waits for capacity are not renewed, and are there once there is capacity', () => {
	const subject = subjectWith(['w1', 'w2'])
	// Full workers whose runs end after twenty seconds.
	subject.configure({ advice: SHORT, latencyTarget: 60_000 }, { name: 'plain', prefix: '/plain/' })
	for (const id of ['w1', 'w2']) subject.worker(id).progressPerPoll = 2
	subject.submit(OTHER, jobOf({ count: 8, expectedTime: 25_000 }), 'plain')
	subject.run(500, 'w1', 'w2')
	subject.submit(GANG, jobOf(gangOf(8)))
	subject.run(10_000, 'w1', 'w2')
	assert.equal(subject.questions.length, 1, 'each worker is discovered once')
	for (const id of ['w1', 'w2']) {
		for (const { task } of [...subject.worker(id).running]) subject.worker(id).end(task, 'done')
	}
	subject.run(1500, 'w1', 'w2')
	assert.equal(runningOf(subject, ['w1', 'w2'], GANG), 8)
	assert.ok(subject.questions.length <= 3, `${subject.questions.length} questions`)
})

test('a lost answer is requested through another instance, and the gang starts', () => {
	const subject = subjectWith(WORKERS)
	let lost = 2
	subject.adviceDelay = ({ workers }) =>
		lost-- > 0 ? Number.POSITIVE_INFINITY : SHORT.base + SHORT.each * workers.length
	subject.submit(GANG, jobOf(gangOf(12)))
	subject.run(8000, ...WORKERS)
	assert.equal(runningOf(subject, WORKERS, GANG), 12)
})

test('an adviser that is twice as slow as declared delays a gang and does not prevent its start', () => {
	const subject = subjectWith(WORKERS)
	subject.adviceDelay = ({ workers }) => 2 * (SHORT.base + SHORT.each * workers.length)
	subject.submit(GANG, jobOf(gangOf(12)))
	subject.run(5000, ...WORKERS)
	assert.equal(runningOf(subject, WORKERS, GANG), 12)
})

test('a gang that broke because a member failed starts again as soon as it has new tickets', () => {
	const subject = subjectWith(['w1', 'w2'])
	subject.submit(GANG, jobOf(gangOf(8)))
	subject.run(6000, 'w1', 'w2')
	assert.equal(runningOf(subject, ['w1', 'w2'], GANG), 8)
	const before = subject.questions.length
	subject.worker('w1').end(`${GANG}.0.0.0`, 'failed', 'c1')
	subject.run(400, 'w1', 'w2')
	assert.ok(
		subject.questions.length > before,
		'tickets are requested while the others are still ending'
	)
	for (const id of ['w1', 'w2']) {
		for (const { task } of [...subject.worker(id).running])
			subject.worker(id).end(task, 'broken', 'c1')
	}
	subject.run(700, 'w1', 'w2')
	assert.equal(runningOf(subject, ['w1', 'w2'], GANG), 8)
	const starts = subject.worker('w1').starts.filter(({ attempt }) => attempt === 2)
	assert.ok(starts.length > 0 && starts.every(({ checkpoint }) => checkpoint === 'c1'))
})

test('a gang avoids a worker that was recently lost if there is capacity elsewhere', () => {
	const subject = subjectWith(WORKERS)
	subject.submit(OTHER, jobOf({ lasting: true }))
	subject.run(1500, ...WORKERS)
	const [flaps] = WORKERS.filter((id) => runningOf(subject, [id], OTHER) > 0)
	subject.worker(flaps).isUnresponsive = true
	subject.run(1500, ...WORKERS)
	subject.worker(flaps).isUnresponsive = false
	subject.run(3000, ...WORKERS)
	subject.submit(GANG, jobOf(gangOf(16)))
	subject.run(3000, ...WORKERS)
	assert.equal(runningOf(subject, WORKERS, GANG), 16)
	assert.equal(runningOf(subject, [flaps], GANG), 0)
})

test('the next leader discovers workers again and starts the whole gang', () => {
	const subject = subjectWith(WORKERS)
	subject.submit(GANG, jobOf(gangOf(12)))
	subject.run(300, ...WORKERS)
	subject.lead()
	subject.run(3000, ...WORKERS)
	assert.equal(runningOf(subject, WORKERS, GANG), 12)
})

test('no task of a job starts after its cancellation was requested', () => {
	const subject = subjectWith(WORKERS)
	subject.submit(GANG, jobOf(gangOf(12)))
	subject.run(300, ...WORKERS)
	subject.proposals.held = true
	subject.call({ kind: 'cancel', to: { id: GANG } })
	subject.run(1000, ...WORKERS)
	subject.proposals.held = false
	subject.proposals.commit()
	subject.run(1000, ...WORKERS)
	assert.equal(subject.startCount, 0)
	assert.equal(subject.state.jobs.find(GANG)?.state, JobState.Cancelled)
})

test('gangs that compete for scarce capacity never hold a part each, and all complete', () => {
	const sizes = fc.array(fc.integer({ min: 2, max: 20 }), { minLength: 2, maxLength: 4 })
	fc.assert(
		fc.property(sizes, (counts) => {
			const subject = subjectWith(WORKERS)
			const ids = counts.map((_, number) => `00000000000000c${number}`)
			counts.forEach((count, number) =>
				subject.submit(ids[number], jobOf(gangOf(count, { expectedTime: 2000 })))
			)
			for (let round = 0; round < 150 && !allDone(subject, ids); round++) {
				subject.run(200, ...WORKERS)
				ids.forEach((id, number) => {
					const running = runningOf(subject, WORKERS, id)
					assert.ok(running === 0 || running === counts[number], `${running} of ${counts[number]}`)
				})
				if (round % 8 === 7) endAll(subject)
			}
			assert.ok(allDone(subject, ids))
		}),
		{ numRuns: 20 }
	)
})

function allDone(subject: LeaderSubject, ids: readonly string[]): boolean {
	return ids.every((id) => subject.state.jobs.find(id)?.state === JobState.Completed)
}

function endAll(subject: LeaderSubject): void {
	for (const id of WORKERS) {
		for (const { task } of [...subject.worker(id).running]) subject.worker(id).end(task, 'done')
	}
	subject.run(100, ...WORKERS)
}
