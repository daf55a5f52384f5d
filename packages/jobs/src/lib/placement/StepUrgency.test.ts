import assert from 'node:assert/strict'
import { test } from 'node:test'
import { compareUrgency, rankOf, urgencyOf, type StepTimes } from './StepUrgency'

const HIGH = 1
const LOW = 2
/** A step of 4 s whose job is due after 10 s. */
const TIMES: StepTimes = { deadline: 10_000, usefulUntil: 30_000, remaining: 4000 }

test('within a priority the step with the earliest latest start goes first, not the one due first', () => {
	const longer = { deadline: 12_000, usefulUntil: 36_000, remaining: 9000 }
	assert.ok(
		compareUrgency(urgencyOf(longer, { priority: HIGH }), urgencyOf(TIMES, { priority: HIGH })) < 0
	)
})

test('a higher priority goes before all lower ones', () => {
	const early = { deadline: 1000, usefulUntil: 3000, remaining: 4000 }
	assert.ok(
		compareUrgency(urgencyOf(TIMES, { priority: HIGH }), urgencyOf(early, { priority: LOW })) < 0
	)
})

test('work beyond its account’s rate goes after all work within a rate, even of lower priority', () => {
	const beyond = urgencyOf(TIMES, { priority: HIGH, beyondRate: true })
	const within = urgencyOf(TIMES, { priority: LOW })
	assert.ok(compareUrgency(within, beyond) < 0)
	assert.ok(rankOf(within) < rankOf(beyond))
	assert.ok(rankOf(beyond) < rankOf(urgencyOf(TIMES, { priority: LOW, beyondRate: true })))
})
