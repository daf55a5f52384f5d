import assert from 'node:assert/strict'
import { test } from 'node:test'
import { compareUrgency, rankOf, urgencyOf, type StepTimes } from './StepUrgency'

const HIGH = 1
const LOW = 2
/** A step of 4 s whose job is to be done after 10 s. */
const TIMES: StepTimes = { deadline: 10_000, remaining: 4000 }

test('of one priority the step that has to begin first goes first, which need not be the one due first', () => {
	const longer = { deadline: 12_000, remaining: 9000 }
	assert.ok(compareUrgency(urgencyOf(HIGH, longer), urgencyOf(HIGH, TIMES)) < 0)
})

test('a priority goes before all lower ones', () => {
	const early = { deadline: 1000, remaining: 4000 }
	assert.ok(compareUrgency(urgencyOf(HIGH, TIMES), urgencyOf(LOW, early)) < 0)
})

test('what an account sent beyond its rate goes after all that was sent within, also of a lower priority', () => {
	const beyond = urgencyOf(HIGH, TIMES, true)
	const within = urgencyOf(LOW, TIMES)
	assert.ok(compareUrgency(within, beyond) < 0)
	assert.ok(rankOf(within) < rankOf(beyond))
	assert.ok(rankOf(beyond) < rankOf(urgencyOf(LOW, TIMES, true)))
})
