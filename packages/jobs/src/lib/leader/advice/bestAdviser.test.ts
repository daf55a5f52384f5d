/** Through which instance a question goes: past those that bring no answer, run late, have much to do or little to do it with. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { PLAIN_STANDING } from './AdviserStanding'
import { bestAdviser, type RankedAdviser } from './bestAdviser'

const PLAIN: RankedAdviser = { ...PLAIN_STANDING, restsUntil: 0 }

/** @returns the place of the best of these. */
function best(...ranks: readonly Partial<RankedAdviser>[]): number {
	const ids = ranks.map((_, place) => `${place}`)
	return Number(bestAdviser(ids, (id) => ({ ...PLAIN, ...ranks[Number(id)] })))
}

test('the first of those that are alike is asked', () => {
	assert.equal(best({}, {}, {}), 0)
})

test('a late one is asked last, then one that rests, then the more loaded, then the small', () => {
	assert.equal(best({ late: true }, { restsUntil: 900 }, { load: 3 }, { small: true }), 3)
	assert.equal(best({ late: true }, { restsUntil: 900 }, { load: 3 }), 2)
	assert.equal(best({ late: true }, { restsUntil: 900 }), 1)
	assert.equal(best({ restsUntil: 900 }, { restsUntil: 800, small: true }), 1)
})
