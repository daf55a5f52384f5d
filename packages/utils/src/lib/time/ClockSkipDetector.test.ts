import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ManualClock } from './ManualClock'
import { ClockSkipDetector } from './ClockSkipDetector'

test('a forward skip of the wall clock is detected once, and a clock set back is ignored', () => {
	const clock = new ManualClock()
	const detector = new ClockSkipDetector(clock)
	clock.advance(5000)
	assert.equal(detector.detectSkip(), false)
	clock.skip(2000)
	assert.equal(detector.detectSkip(), true)
	assert.equal(detector.detectSkip(), false)
	clock.skip(-2000)
	assert.equal(detector.detectSkip(), false)
	clock.skip(2000)
	assert.equal(detector.detectSkip(), true)
})
