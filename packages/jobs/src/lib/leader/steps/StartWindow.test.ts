/** How many starts may be under way in a cell that is behind, and when there is no bound any more. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { StartWindow } from './StartWindow'

/** Milliseconds that half of the starts may take: the latency target of the most urgent queue. */
const BOUND = 250

test('while a cell keeps up nothing is bounded', () => {
	const window = new StartWindow()
	for (let period = 0; period < 40; period++) window.update(120, BOUND, 500)
	assert.ok(window.admits(100_000))
})

test('a cell that is behind gets fewer starts at a time, by as much as they are late', () => {
	const window = new StartWindow()
	window.update(BOUND / 0.8, BOUND, 200)
	assert.equal(window.size, 160)
	assert.ok(window.admits(159))
	assert.ok(!window.admits(160))
	window.update(5000, BOUND, 160)
	assert.equal(window.size, 80)
})

test('some starts may always be under way, so that it shows when the cell can do more', () => {
	const window = new StartWindow()
	for (let period = 0; period < 20; period++) window.update(5000, BOUND, 400)
	assert.equal(window.size, 16)
})

test('a cell of 300 starts at a time that has its processor again is bounded no more within five seconds', () => {
	const window = new StartWindow()
	for (let period = 0; period < 20; period++) window.update(5000, BOUND, 400)
	for (let period = 0; period < 20; period++) window.update(60, BOUND, 300)
	assert.ok(window.admits(300))
	for (let period = 0; period < 20; period++) window.update(60, BOUND, 300)
	assert.equal(window.size, Number.POSITIVE_INFINITY)
})

test('a delay between the two bounds changes nothing', () => {
	const window = new StartWindow()
	window.update(500, BOUND, 200)
	const { size } = window
	window.update(200, BOUND, 90)
	assert.equal(window.size, size)
})
