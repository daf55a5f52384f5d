import assert from 'node:assert/strict'
import { test } from 'node:test'
import { PLAIN_STEP, type Step } from '../records/Job'
import type { WorkerOption } from '../leader/steps/chooseWorkerForStep'
import type { StepWork } from '../leader/steps/StepWork'
import { atLikeSpeed, speedScore } from './speedFit'

const EXPECTED = 4000
const SLOW = 0.5
const NOW = 100_000

/** A step that has to begin so many milliseconds from now, as far as the fit looks at it. */
function workWith(slack: number, step: Partial<Step> = {}, waited = 0): StepWork {
	const deadline = NOW + slack + EXPECTED
	const times = { deadline, usefulUntil: deadline + 10_000, remaining: EXPECTED }
	return {
		step: { ...PLAIN_STEP, expectedTime: EXPECTED, ...step },
		times,
		urgency: { latestStart: NOW + slack },
		getWaitTime: () => waited,
		countFittingTasks: () => 2,
	} as unknown as StepWork
}

function optionOf(id: string, speed: number): WorkerOption {
	return { view: { id, speed }, account: { capacity: {} } } as unknown as WorkerOption
}

test('work that a slow worker would make late prefers others, and work with time to spare fills it', () => {
	assert.ok(speedScore(workWith(1000), SLOW, NOW) > 0)
	assert.ok(speedScore(workWith(60_000), SLOW, NOW) < 0)
})

test('work that comes too late anyway leaves fast workers to others', () => {
	assert.ok(speedScore(workWith(-5000), SLOW, NOW) > 0)
	assert.ok(speedScore(workWith(-30_000), SLOW, NOW) < 0)
})

test('where speeds are alike or unknown nothing is added, nor for lasting and best-effort work', () => {
	for (const slack of [-5000, 0, 60_000]) {
		assert.equal(speedScore(workWith(slack), 1, NOW), 0)
		assert.equal(speedScore(workWith(slack), 0.8, NOW), 0)
		assert.equal(speedScore(workWith(slack, { lasting: true }), SLOW, NOW), 0)
		assert.equal(speedScore(workWith(slack, { bestEffort: true }), SLOW, NOW), 0)
	}
})

const MIXED = [optionOf('w1', 1), optionOf('w2', SLOW), optionOf('w3', 1.1)]

function idsFor(work: StepWork): string[] {
	return atLikeSpeed(work, MIXED, NOW).map(({ view }) => view.id)
}

test('a gang waits for workers of like speed, no longer than half of what it gains by them', () => {
	const gang = { gang: true, count: 4 }
	assert.deepEqual(idsFor(workWith(0, gang)), ['w1', 'w3'])
	assert.deepEqual(idsFor(workWith(0, gang, 1900)), ['w1', 'w3'])
	assert.deepEqual(idsFor(workWith(0, gang, 2100)), ['w1', 'w2', 'w3'])
})

test('a gang that the fast workers could never hold takes all of them at once, as steps without a gang do', () => {
	assert.equal(idsFor(workWith(0, { gang: true, count: 5 })).length, 3)
	assert.equal(idsFor(workWith(0, { count: 2 })).length, 3)
})
