import assert from 'node:assert/strict'
import { test } from 'node:test'
import { RunProgress } from './RunProgress'

const EXPECTED = 4000

test('before its first reading a run is expected to take the time that its step declares', () => {
	const progress = new RunProgress(1000, EXPECTED)
	assert.equal(progress.getExpectedEnd(1500), 5000)
	assert.equal(progress.getExpectedEnd(9000), 9000)
})

test('the expected end follows from the observed speed, and recent readings count', () => {
	const progress = new RunProgress(0, EXPECTED)
	progress.addReading(10, 500, 500)
	progress.addReading(20, 1000, 1000)
	assert.equal(progress.getExpectedEnd(1000), 5000)
	// The run becomes five times slower.
	for (let half = 1; half <= 6; half++)
		progress.addReading(20 + 2 * half, 1000 + 500 * half, 1000 + 500 * half)
	assert.equal(Math.round(progress.observedDuration ?? 0), 25_000)
})

test('a stall is measured between readings, not by the time since the last one', () => {
	const progress = new RunProgress(0, EXPECTED)
	progress.addReading(10, 500, 500)
	progress.addReading(20, 1000, 1000)
	assert.equal(progress.stalledForMs, 0)
	progress.addReading(20, 1500, 1500)
	progress.addReading(20, 2000, 2000)
	assert.equal(progress.stalledForMs, 1000)
})

test('a reading that arrives late does not look like a stalled run', () => {
	const progress = new RunProgress(0, EXPECTED)
	progress.addReading(10, 500, 500)
	progress.addReading(20, 1000, 6000)
	progress.addReading(21, 1040, 6010)
	assert.equal(progress.stalledForMs, 0)
	assert.ok((progress.observedDuration ?? 0) < EXPECTED * 2)
})
