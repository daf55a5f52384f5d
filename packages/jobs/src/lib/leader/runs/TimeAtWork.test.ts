/** How long a run has been at work is told by its worker's clock alone. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { TimeAtWork } from './TimeAtWork'

test('a run has been at work from the answer that confirmed it to the last list that has it', () => {
	const time = new TimeAtWork()
	time.confirmed(1000)
	assert.equal(time.least, 0)
	time.listed(1200)
	assert.equal(time.hasOutlivedBeginning, false)
	time.listed(1201)
	assert.equal(time.hasOutlivedBeginning, true)
})

test('an answer that was made earlier, and comes later, changes nothing', () => {
	const time = new TimeAtWork()
	time.listed(1300)
	time.confirmed(1000)
	time.listed(1100)
	assert.equal(time.least, 0)
})

test('where a confirmation tells no clock, time counts from the first list', () => {
	const time = new TimeAtWork()
	time.confirmed(undefined)
	time.listed(5000)
	time.listed(5150)
	assert.equal(time.least, 150)
})
