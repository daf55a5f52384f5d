/** Retention and eviction of refused submissions. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { RefusedCalls } from './RefusedCalls'

const REFUSAL = { kind: 'not-run', reason: 'too many jobs', retryAfter: 1000 } as const

test('a refusal is kept for a minute, by incarnation of the instance and number of the call', () => {
	const refused = new RefusedCalls()
	refused.add({ instance: 'a', number: 1 }, REFUSAL, 0)
	assert.equal(refused.find({ instance: 'a', number: 1 }, 59_999), REFUSAL)
	assert.equal(refused.find({ instance: 'a', number: 2 }, 0), undefined)
	assert.equal(refused.find({ instance: 'b', number: 1 }, 0), undefined)
	assert.equal(refused.find({ instance: 'a', number: 1 }, 60_000), undefined)
})

test('the oldest refusals are evicted when there are too many, so that memory stays bounded', () => {
	const refused = new RefusedCalls()
	for (let number = 0; number < 60_000; number++) {
		refused.add({ instance: 'a', number }, REFUSAL, 1)
	}
	assert.equal(refused.find({ instance: 'a', number: 0 }, 2), undefined)
	assert.equal(refused.find({ instance: 'a', number: 59_999 }, 2), REFUSAL)
})
