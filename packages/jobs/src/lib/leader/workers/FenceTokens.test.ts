/** Fencing tokens rise within a term and from term to term. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { FenceTokens } from './FenceTokens'

test('tokens rise with each life and are below those of the next term', () => {
	const early = new FenceTokens(3)
	const given = [early.next(), early.next(), early.next()]
	assert.deepEqual(
		given,
		[...given].sort((left, right) => left - right)
	)
	assert.equal(new Set(given).size, 3)
	assert.ok(new FenceTokens(4).next() > given[2])
	assert.ok(Number.isSafeInteger(new FenceTokens(2 ** 32).next()))
})
