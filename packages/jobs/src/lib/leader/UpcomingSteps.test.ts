/** When advice about the next step is asked: in time for it, and not so early that its tickets have run out. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { newJobRecord, type JobRecord } from '../state/JobRecord'
import { jobOf, QUEUE } from '../testing/samples'
import { UpcomingSteps } from './UpcomingSteps'

/** An answer about fifty workers takes a second; tickets hold for two and a half. */
const LONG = { base: 500, each: 10, valid: 2500 }
const WORKERS = 50
const ANSWER = 1000

function jobWith(...dependsOn: number[][]): JobRecord {
	const request = jobOf(...dependsOn.map((earlier) => ({ dependsOn: earlier })))
	return newJobRecord({ id: '00000000000000aa', queue: QUEUE, request, submitted: 0 })
}

function subject(
	lastEnds: readonly number[],
	terms: typeof LONG | undefined = LONG
): UpcomingSteps {
	return new UpcomingSteps({
		lastEnd: (_job, _repeat, step) => lastEnds[step],
		advice: () => terms && { terms, workers: WORKERS },
	})
}

function stepsDue(steps: UpcomingSteps, now: number): number[] {
	return steps.due(now).map(({ step }) => step)
}

test('a step is asked about once, when the answer comes while half of its tickets time is left at its beginning', () => {
	const job = jobWith([], [0])
	const steps = subject([8000])
	steps.firstDone(job, 0, 0)
	assert.deepEqual(stepsDue(steps, 8000 - ANSWER - 1251), [])
	assert.deepEqual(stepsDue(steps, 8000 - ANSWER - 1250), [1])
	assert.deepEqual(stepsDue(steps, 8000 - ANSWER), [])
})

test('a step that waits for two is asked about in time for the later one', () => {
	const job = jobWith([], [], [0, 1])
	const steps = subject([100, 8000])
	steps.firstDone(job, 0, 0)
	assert.deepEqual(stepsDue(steps, 0), [])
	assert.deepEqual(stepsDue(steps, 7000), [2])
})

test('while a task of the step before has no run, nothing is asked', () => {
	const job = jobWith([], [0])
	const steps = subject([Number.POSITIVE_INFINITY])
	steps.firstDone(job, 0, 0)
	assert.deepEqual(stepsDue(steps, 100_000), [])
})

test('nothing is asked for the last step, for a queue without advice, or for what is over', () => {
	const job = jobWith([], [0])
	const last = subject([0, 0])
	last.firstDone(job, 0, 1)
	assert.deepEqual(stepsDue(last, 0), [])
	const plain = new UpcomingSteps({ lastEnd: () => 0, advice: () => undefined })
	plain.firstDone(job, 0, 0)
	assert.deepEqual(stepsDue(plain, 0), [])
	const over = subject([0, 0])
	over.firstDone(job, 0, 0)
	over.done(job, 0, 0)
	assert.deepEqual(stepsDue(over, 0), [])
	over.firstDone(job, 0, 0)
	over.drop(job)
	assert.deepEqual(stepsDue(over, 0), [])
})
