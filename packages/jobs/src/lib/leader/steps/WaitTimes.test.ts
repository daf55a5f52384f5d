/** Waits by reason, with explicit times. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { WaitReason } from './waitReason'
import { WaitTimes } from './WaitTimes'

test('each reason counts until the next one is set, and adds up when it is set again', () => {
	const times = new WaitTimes()
	times.setReason(WaitReason.Advice, 100)
	times.setReason(WaitReason.Capacity, 150)
	times.setReason(WaitReason.Capacity, 400)
	times.setReason(WaitReason.Advice, 1150)
	times.setReason(undefined, 1160)
	times.setReason(WaitReason.Capacity, 5000)
	assert.equal(String(times), 'room:1000 advice:60')
})

test('a step that never waited formats as an empty text', () => {
	const times = new WaitTimes()
	times.setReason(undefined, 10)
	times.setReason(undefined, 20)
	assert.equal(String(times), '')
})
