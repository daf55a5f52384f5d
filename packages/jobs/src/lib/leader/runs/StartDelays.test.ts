/** Tests the median start delay, by which an overloaded cell is detected. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { StartDelays } from './StartDelays'

const PERIOD = 250
const noAges = (): number[] => []

function delaysOf(...confirmed: number[]): StartDelays {
	const delays = new StartDelays(0)
	for (const delay of confirmed) delays.record(delay)
	return delays
}

test('the upper median of a period is returned, and the next period starts empty', () => {
	const delays = delaysOf(...Array.from({ length: 20 }, (_, start) => 40 + start))
	assert.equal(delays.takeMedian(PERIOD - 1, noAges), undefined)
	assert.equal(delays.takeMedian(PERIOD, noAges), 50)
	assert.equal(delays.takeMedian(PERIOD * 2, noAges), 0)
})

test('unconfirmed starts count by their age, so that a stalled cell counts as overloaded', () => {
	const ages = Array<number>(40).fill(3000)
	assert.equal(
		delaysOf(60, 60, 60).takeMedian(PERIOD, () => ages),
		3000
	)
})

test('starts on an unreachable third of the workers do not change the median', () => {
	const cut = Array<number>(10).fill(4000)
	assert.equal(
		delaysOf(...Array<number>(20).fill(60)).takeMedian(PERIOD, () => cut),
		60
	)
})

test('a period with few starts returns 0', () => {
	assert.equal(delaysOf(4000, 4000, 4000).takeMedian(PERIOD, noAges), 0)
})
