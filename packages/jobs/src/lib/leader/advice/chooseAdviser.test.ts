/**
 * Tests the choice of the instance for a question: it avoids late, failing, loaded and small ones.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { DEFAULT_ADVISER_STATUS } from './AdviserStatus'
import { chooseAdviser, type RankedAdviser } from './chooseAdviser'

const PLAIN: RankedAdviser = { ...DEFAULT_ADVISER_STATUS, cooldownUntil: 0 }

/** @returns the index of the chosen instance. */
function best(...ranks: readonly Partial<RankedAdviser>[]): number {
	const ids = ranks.map((_, place) => `${place}`)
	return Number(chooseAdviser(ids, (id) => ({ ...PLAIN, ...ranks[Number(id)] })))
}

test('the first one among equal instances is chosen', () => {
	assert.equal(best({}, {}, {}), 0)
})

test('a late instance is chosen last, then one in cooldown, then the more loaded, then the small', () => {
	assert.equal(best({ isLate: true }, { cooldownUntil: 900 }, { load: 3 }, { isSmall: true }), 3)
	assert.equal(best({ isLate: true }, { cooldownUntil: 900 }, { load: 3 }), 2)
	assert.equal(best({ isLate: true }, { cooldownUntil: 900 }), 1)
	assert.equal(best({ cooldownUntil: 900 }, { cooldownUntil: 800, isSmall: true }), 1)
})
