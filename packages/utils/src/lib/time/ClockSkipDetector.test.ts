import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ManualClock } from './ManualClock'
import { ClockSkipDetector } from './ClockSkipDetector'

test('time that only the calendar counts is noticed once, and a calendar set back is not taken for it', () => {
	const clock = new ManualClock()
	const skipped = new ClockSkipDetector(clock)
	clock.advance(5000)
	assert.equal(skipped.detectSkip(), false)
	clock.skip(2000)
	assert.equal(skipped.detectSkip(), true)
	assert.equal(skipped.detectSkip(), false)
	clock.skip(-2000)
	assert.equal(skipped.detectSkip(), false)
	clock.skip(2000)
	assert.equal(skipped.detectSkip(), true)
})
