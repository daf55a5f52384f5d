/** Tests the estimated share of workers that a queue's policy allows. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { AllowedShare } from './AllowedShare'

test('a queue without answers is assumed to allow a third', () => {
	const share = new AllowedShare().shareOf('queue')
	assert.ok(share > 0.3 && share < 0.4)
})

test('each queue has its own share, which follows changes of its policy', () => {
	const shares = new AllowedShare()
	shares.record('generous', 100, 90)
	shares.record('strict', 100, 10)
	assert.ok(shares.shareOf('generous') > 0.8)
	assert.ok(shares.shareOf('strict') < 0.2)
	for (let answer = 0; answer < 50; answer++) shares.record('generous', 20, 2)
	assert.ok(shares.shareOf('generous') < 0.2)
})
