/** Tests that the running time is measured by the worker's clock alone. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ObservedRunTime } from './ObservedRunTime'

test('a run counts as running from its confirmation to the last poll that lists it', () => {
	const time = new ObservedRunTime()
	time.onConfirmed(1000)
	assert.equal(time.minimum, 0)
	time.onListed(1200)
	assert.equal(time.hasOutlivedStartup, false)
	time.onListed(1201)
	assert.equal(time.hasOutlivedStartup, true)
})

test('answers that arrive out of order change nothing', () => {
	const time = new ObservedRunTime()
	time.onListed(1300)
	time.onConfirmed(1000)
	time.onListed(1100)
	assert.equal(time.minimum, 0)
})

test('without a clock in the confirmation, time counts from the first poll', () => {
	const time = new ObservedRunTime()
	time.onConfirmed(undefined)
	time.onListed(5000)
	time.onListed(5150)
	assert.equal(time.minimum, 150)
})
