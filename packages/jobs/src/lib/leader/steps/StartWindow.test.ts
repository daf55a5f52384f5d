/** The window shrinks while a cell is behind with starts, and opens again once it keeps up. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { StartWindow } from './StartWindow'

/** Target of the median delay in milliseconds: the latency target of the most urgent queue. */
const TARGET_DELAY = 250

test('starts are not limited while the cell keeps up', () => {
	const window = new StartWindow()
	for (let period = 0; period < 40; period++) window.update(120, TARGET_DELAY, 500)
	assert.ok(window.admits(100_000))
})

test('the window shrinks in proportion to the delay, to a half at most', () => {
	const window = new StartWindow()
	window.update(TARGET_DELAY / 0.8, TARGET_DELAY, 200)
	assert.equal(window.size, 160)
	assert.ok(window.admits(159))
	assert.ok(!window.admits(160))
	window.update(5000, TARGET_DELAY, 160)
	assert.equal(window.size, 80)
})

test('the window never shrinks below its least size, so that a recovery is noticed', () => {
	const window = new StartWindow()
	for (let period = 0; period < 20; period++) window.update(5000, TARGET_DELAY, 400)
	assert.equal(window.size, 16)
})

test('with 300 starts under way the limit is lifted within five seconds of a recovery', () => {
	const window = new StartWindow()
	for (let period = 0; period < 20; period++) window.update(5000, TARGET_DELAY, 400)
	for (let period = 0; period < 20; period++) window.update(60, TARGET_DELAY, 300)
	assert.ok(window.admits(300))
	for (let period = 0; period < 20; period++) window.update(60, TARGET_DELAY, 300)
	assert.equal(window.size, Number.POSITIVE_INFINITY)
})

test('a delay between the two thresholds leaves the window as it is', () => {
	const window = new StartWindow()
	window.update(500, TARGET_DELAY, 200)
	const { size } = window
	window.update(200, TARGET_DELAY, 90)
	assert.equal(window.size, size)
})
