/** Tests that workers which were recently lost or failed often count as unreliable for a while. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { WorkerReliability } from './WorkerReliability'

test('a worker without losses or failures is reliable', () => {
	assert.equal(new WorkerReliability().isUnreliable('w1', 0), false)
})

test('one loss counts for a while, several for longer, also in the next incarnation of the worker', () => {
	const reliability = new WorkerReliability()
	reliability.recordLoss('once', 0)
	for (const at of [0, 1000, 2000]) reliability.recordLoss(`flaps@${at}`, at)
	assert.equal(reliability.isUnreliable('once', 10_000), true)
	assert.equal(reliability.isUnreliable('once', 20_000), false)
	assert.equal(reliability.isUnreliable('flaps@30000', 30_000), true)
	assert.equal(reliability.isUnreliable('flaps@30000', 60_000), false)
})

test('a few failures do not make a worker unreliable, many within a short time do', () => {
	const reliability = new WorkerReliability()
	for (let count = 0; count < 2; count++) reliability.recordFailure('w1', 0)
	assert.equal(reliability.isUnreliable('w1', 0), false)
	for (let count = 0; count < 2; count++) reliability.recordFailure('w1', 1000)
	assert.equal(reliability.isUnreliable('w1', 1000), true)
})
