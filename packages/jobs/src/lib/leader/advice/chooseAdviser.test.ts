/** Through which instance a question goes: past those that bring no answer, run late, have much to do or little to do it with. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { DEFAULT_ADVISER_STATUS } from './AdviserStatus'
import { chooseAdviser, type RankedAdviser } from './chooseAdviser'

const PLAIN: RankedAdviser = { ...DEFAULT_ADVISER_STATUS, cooldownUntil: 0 }

/** @returns the place of the best of these. */
function best(...ranks: readonly Partial<RankedAdviser>[]): number {
	const ids = ranks.map((_, place) => `${place}`)
	return Number(chooseAdviser(ids, (id) => ({ ...PLAIN, ...ranks[Number(id)] })))
}

test('the first of those that are alike is asked', () => {
	assert.equal(best({}, {}, {}), 0)
})

test('a late one is asked last, then one that rests, then the more loaded, then the small', () => {
	assert.equal(best({ isLate: true }, { cooldownUntil: 900 }, { load: 3 }, { isSmall: true }), 3)
	assert.equal(best({ isLate: true }, { cooldownUntil: 900 }, { load: 3 }), 2)
	assert.equal(best({ isLate: true }, { cooldownUntil: 900 }), 1)
	assert.equal(best({ cooldownUntil: 900 }, { cooldownUntil: 800, isSmall: true }), 1)
})
