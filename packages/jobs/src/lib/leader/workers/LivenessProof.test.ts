/** What a list proves of its worker depends on when it was made, not on when it comes. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { LivenessProof } from './LivenessProof'

/** What the worker's clock shows beyond the leader's. */
const AHEAD = 40_000

test('the first list proves that its life was there when the poll was sent', () => {
	const proof = new LivenessProof()
	proof.onList(AHEAD + 1900, 1000, 2200)
	assert.equal(proof.aliveUntil, 1000)
})

test('a later list proves as much more as the clock of its worker has gone on', () => {
	const proof = new LivenessProof()
	proof.onList(AHEAD + 1000, 1000, 1003)
	proof.onList(AHEAD + 1900, 1010, 3000)
	assert.equal(proof.aliveUntil, 1900)
	proof.onList(AHEAD + 1500, 1400, 3100)
	assert.equal(proof.aliveUntil, 1900)
})

test('a list proves nothing of a moment after it has come', () => {
	const proof = new LivenessProof()
	proof.onList(AHEAD + 1000, 1000, 1003)
	proof.onList(AHEAD + 9000, 1010, 2000)
	assert.equal(proof.aliveUntil, 2000)
})

test('a far worker, whose every answer takes long, is proven to be there for a moment too', () => {
	const proof = new LivenessProof()
	proof.onList(AHEAD + 1000, 900, 1080)
	assert.ok(proof.isValid(1120))
	assert.ok(!proof.isValid(1200))
	// A list that was held up on its way lengthens nothing.
	proof.onList(AHEAD + 1400, 1300, 1900)
	assert.ok(!proof.isValid(1900))
})
