/** What starts tell of a cell. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { StartDelays } from './StartDelays'

const PERIOD = 250
const nothing = (): number[] => []

function delaysOf(...confirmed: number[]): StartDelays {
	const delays = new StartDelays(0)
	for (const delay of confirmed) delays.record(delay)
	return delays
}

test('half of the starts of a period took so long, and the next one begins anew', () => {
	const delays = delaysOf(...Array.from({ length: 20 }, (_, start) => 40 + start))
	assert.equal(delays.takeMedian(PERIOD - 1, nothing), undefined)
	assert.equal(delays.takeMedian(PERIOD, nothing), 50)
	assert.equal(delays.takeMedian(PERIOD * 2, nothing), 0)
})

test('starts that no worker has confirmed count by their age: a cell that has stopped is behind', () => {
	const ages = Array<number>(40).fill(3000)
	assert.equal(
		delaysOf(60, 60, 60).takeMedian(PERIOD, () => ages),
		3000
	)
})

test('a third of the workers that is cut off says nothing of the others', () => {
	const cut = Array<number>(10).fill(4000)
	assert.equal(
		delaysOf(...Array<number>(20).fill(60)).takeMedian(PERIOD, () => cut),
		60
	)
})

test('a few starts tell nothing', () => {
	assert.equal(delaysOf(4000, 4000, 4000).takeMedian(PERIOD, nothing), 0)
})
