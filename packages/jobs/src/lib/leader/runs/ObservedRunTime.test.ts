/** How long a run has been at work is told by its worker's clock alone. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ObservedRunTime } from './ObservedRunTime'

test('a run has been at work from the answer that confirmed it to the last list that has it', () => {
	const time = new ObservedRunTime()
	time.onConfirmed(1000)
	assert.equal(time.minimum, 0)
	time.onListed(1200)
	assert.equal(time.hasOutlivedStartup, false)
	time.onListed(1201)
	assert.equal(time.hasOutlivedStartup, true)
})

test('an answer that was made earlier, and comes later, changes nothing', () => {
	const time = new ObservedRunTime()
	time.onListed(1300)
	time.onConfirmed(1000)
	time.onListed(1100)
	assert.equal(time.minimum, 0)
})

test('where a confirmation tells no clock, time counts from the first list', () => {
	const time = new ObservedRunTime()
	time.onConfirmed(undefined)
	time.onListed(5000)
	time.onListed(5150)
	assert.equal(time.minimum, 150)
})
