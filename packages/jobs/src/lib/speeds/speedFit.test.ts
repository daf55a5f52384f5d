import assert from 'node:assert/strict'
import { test } from 'node:test'
import { DEFAULT_STEP, type Step } from '../records/Job'
import type { WorkerOption } from '../leader/steps/chooseWorkerForStep'
import type { StepWork } from '../leader/steps/StepWork'
import { selectSimilarSpeed, speedScoreOf } from './speedFit'

const EXPECTED = 4000
const SLOW = 0.5
const NOW = 100_000

/**
 * A step whose latest start is the given number of milliseconds from now, with only the members
 * that the score reads.
 */
function workWith(slack: number, step: Partial<Step> = {}, waited = 0): StepWork {
	const deadline = NOW + slack + EXPECTED
	const times = { deadline, usefulUntil: deadline + 10_000, remaining: EXPECTED }
	return {
		step: { ...DEFAULT_STEP, expectedTime: EXPECTED, ...step },
		times,
		urgency: { latestStart: NOW + slack },
		getWaitTime: () => waited,
		countFittingTasks: () => 2,
	} as unknown as StepWork
}

function optionOf(id: string, speed: number): WorkerOption {
	return { view: { id, speed }, account: { capacity: {} } } as unknown as WorkerOption
}

test('work that a slow worker would make late avoids it, and work with slack prefers it', () => {
	assert.ok(speedScoreOf(workWith(1000), SLOW, NOW) > 0)
	assert.ok(speedScoreOf(workWith(60_000), SLOW, NOW) < 0)
})

test('work that is too late on any worker prefers a slow one', () => {
	assert.ok(speedScoreOf(workWith(-5000), SLOW, NOW) > 0)
	assert.ok(speedScoreOf(workWith(-30_000), SLOW, NOW) < 0)
})

test('the score is 0 for similar or unknown speeds, and for lasting and best-effort work', () => {
	for (const slack of [-5000, 0, 60_000]) {
		assert.equal(speedScoreOf(workWith(slack), 1, NOW), 0)
		assert.equal(speedScoreOf(workWith(slack), 0.8, NOW), 0)
		assert.equal(speedScoreOf(workWith(slack, { lasting: true }), SLOW, NOW), 0)
		assert.equal(speedScoreOf(workWith(slack, { bestEffort: true }), SLOW, NOW), 0)
	}
})

const MIXED = [optionOf('w1', 1), optionOf('w2', SLOW), optionOf('w3', 1.1)]

function idsFor(work: StepWork): string[] {
	return selectSimilarSpeed(work, MIXED, NOW).map(({ view }) => view.id)
}

test('a gang waits for workers of similar speed for at most half of the time that it gains', () => {
	const gang = { gang: true, count: 4 }
	assert.deepEqual(idsFor(workWith(0, gang)), ['w1', 'w3'])
	assert.deepEqual(idsFor(workWith(0, gang, 1900)), ['w1', 'w3'])
	assert.deepEqual(idsFor(workWith(0, gang, 2100)), ['w1', 'w2', 'w3'])
})

test('a gang that is too large for the fast workers considers all workers at once, as other steps do', () => {
	assert.equal(idsFor(workWith(0, { gang: true, count: 5 })).length, 3)
	assert.equal(idsFor(workWith(0, { count: 2 })).length, 3)
})
