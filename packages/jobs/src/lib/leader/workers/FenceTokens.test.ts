/** Fencing tokens increase within a term and from term to term. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { FenceTokens } from './FenceTokens'

test('tokens increase with each incarnation and are below those of the next term', () => {
	const early = new FenceTokens(3)
	const issued = [early.next(), early.next(), early.next()]
	assert.deepEqual(
		issued,
		[...issued].sort((left, right) => left - right)
	)
	assert.equal(new Set(issued).size, 3)
	assert.ok(new FenceTokens(4).next() > issued[2])
	assert.ok(Number.isSafeInteger(new FenceTokens(2 ** 32).next()))
})
