import assert from 'node:assert/strict'
import { test } from 'node:test'
import { compareUrgency, rankOf, urgencyOf } from './StepUrgency'
import { Usefulness, usefulnessOf } from './Usefulness'

/** A step of 4 s, due after 10 s, whose caller waits for 30 s. */
const TIMES = { deadline: 10_000, usefulUntil: 30_000, remaining: 4000 }

test('a step is in time while the rest of its job can meet the deadline, and late while its caller still waits', () => {
	assert.equal(usefulnessOf(TIMES, 6000), Usefulness.InTime)
	assert.equal(usefulnessOf(TIMES, 6001), Usefulness.Late)
	assert.equal(usefulnessOf(TIMES, 26_000), Usefulness.Late)
	assert.equal(usefulnessOf(TIMES, 26_001), Usefulness.TooLate)
})

test('within a priority a step that can be in time goes before a late one with an earlier latest start', () => {
	const late = { deadline: 5000, usefulUntil: 15_000, remaining: 4000 }
	const inTime = urgencyOf(TIMES, { priority: 1, usefulness: Usefulness.InTime })
	const behind = urgencyOf(late, { priority: 1, usefulness: Usefulness.Late })
	const lower = urgencyOf(TIMES, { priority: 2, usefulness: Usefulness.InTime })
	assert.ok(compareUrgency(inTime, behind) < 0)
	assert.ok(rankOf(inTime) < rankOf(behind))
	assert.ok(compareUrgency(behind, lower) < 0)
	assert.ok(rankOf(behind) < rankOf(lower))
})

test('within a degree of usefulness work within its account’s share goes first, and ranks agree with the order', () => {
	const early = { ...TIMES, deadline: 9000 }
	const over = urgencyOf(early, { priority: 1, overShare: true })
	const within = urgencyOf(TIMES, { priority: 1 })
	const late = urgencyOf(TIMES, { priority: 1, usefulness: Usefulness.Late })
	assert.ok(compareUrgency(within, over) < 0)
	assert.ok(rankOf(within) < rankOf(over))
	assert.ok(compareUrgency(over, late) < 0)
	assert.ok(rankOf(over) < rankOf(late))
})
