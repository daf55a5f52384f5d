/** Which submissions count as beyond an account's rate. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { SubmissionRate } from './SubmissionRate'

test('jobs beyond the rate are detected separately for each account', () => {
	const rate = new SubmissionRate(1000)
	assert.deepEqual(
		[0, 100, 200].map((at) => rate.take('town', 2, at)),
		[true, true, false]
	)
	assert.ok(rate.take('city', 2, 200))
})

test('the window slides, and jobs beyond the rate do not count in it', () => {
	const rate = new SubmissionRate(1000)
	const within = [0, 600, 700, 999, 1000, 1599, 1600].map((at) => rate.take('town', 2, at))
	assert.deepEqual(within, [true, true, false, false, true, false, true])
})

test('a longer window allows a short burst within the rate', () => {
	const rate = new SubmissionRate(5000)
	const within = [0, 0, 0, 0, 0, 100, 5000].map((at) => rate.take('town', 1, at))
	assert.deepEqual(within, [true, true, true, true, true, false, true])
})
