/** The division of scarce capacity among contenders that want more than there is. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { maxMinLevel, type Contender } from './maxMinLevel'

test('capacity that one contender does not want goes to the others by weight', () => {
	const modest = { weight: 1, maxUse: 0.1 }
	const greedy = { weight: 1, maxUse: Infinity }
	const heavy = { weight: 2, maxUse: Infinity }
	assert.ok(Math.abs(maxMinLevel([modest, greedy, heavy], 1) - 0.3) < 1e-9)
	assert.equal(maxMinLevel([modest], 1), Infinity)
	assert.equal(maxMinLevel([], 1), Infinity)
})

const contender: fc.Arbitrary<Contender> = fc.record({
	weight: fc.double({ min: 0.1, max: 10, noNaN: true }),
	maxUse: fc.double({ min: 0, max: 2, noNaN: true }),
})

test('the parts add up to the capacity or to all demands, whichever is less', () => {
	fc.assert(
		fc.property(fc.array(contender, { maxLength: 30 }), (contenders) => {
			const level = maxMinLevel(contenders, 1)
			const wanted = contenders.reduce((sum, { maxUse }) => sum + maxUse, 0)
			const given = contenders
				.map(({ weight, maxUse }) => Math.min(maxUse, weight * level))
				.reduce((sum, part) => sum + part, 0)
			assert.ok(Math.abs(given - Math.min(1, wanted)) < 1e-6)
		})
	)
})
