/** What a list proves of its worker depends on when it was made, not on when it arrives. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { LivenessProof } from './LivenessProof'

/** How far the worker's clock is ahead of the leader's, in milliseconds. */
const AHEAD = 40_000

test('the first list proves that its incarnation was alive when the poll was sent', () => {
	const proof = new LivenessProof()
	proof.onList(AHEAD + 1900, 1000, 2200)
	assert.equal(proof.aliveUntil, 1000)
})

test("a later list extends the proof by the time that passed on the worker's clock", () => {
	const proof = new LivenessProof()
	proof.onList(AHEAD + 1000, 1000, 1003)
	proof.onList(AHEAD + 1900, 1010, 3000)
	assert.equal(proof.aliveUntil, 1900)
	proof.onList(AHEAD + 1500, 1400, 3100)
	assert.equal(proof.aliveUntil, 1900)
})

test('a list proves nothing beyond the moment of its arrival', () => {
	const proof = new LivenessProof()
	proof.onList(AHEAD + 1000, 1000, 1003)
	proof.onList(AHEAD + 9000, 1010, 2000)
	assert.equal(proof.aliveUntil, 2000)
})

test('the proof allows for the round trip of a distant worker', () => {
	const proof = new LivenessProof()
	proof.onList(AHEAD + 1000, 900, 1080)
	assert.ok(proof.isValid(1120))
	assert.ok(!proof.isValid(1200))
	// A list that was delayed in transit does not extend the proof.
	proof.onList(AHEAD + 1400, 1300, 1900)
	assert.ok(!proof.isValid(1900))
})
