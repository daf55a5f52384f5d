/** How long messages were held up is told without a common clock. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { MessageAges } from './MessageAges'

const LIFE = 'life-1'
/** What this clock shows beyond the sender's. */
const AHEAD = 500_000
/** Milliseconds that a message takes which nothing holds up. */
const WAY = 2

/** @returns the age of a message that was sent at a moment of the sender's clock and took so long. */
function ageOf(ages: MessageAges, at: number, way = WAY, life = LIFE): number {
	return ages.took('peer', { life, at }, at + AHEAD + way)
}

test('a message that was held up is told from others of its sender', () => {
	const ages = new MessageAges()
	assert.equal(ageOf(ages, 1000), 0)
	const held = ageOf(ages, 1100, 800)
	assert.ok(held > 750 && held < 800, `${held} ms`)
	assert.ok(ageOf(ages, 2000, 4) <= 2)
})

test('a sender that starts again, whose clock begins anew, is not taken for one that is held up', () => {
	const ages = new MessageAges()
	ageOf(ages, 90_000)
	assert.equal(ages.took('peer', { life: 'life-2', at: 10 }, 90_500 + AHEAD), 0)
	// What its earlier life sent still counts as what it is.
	assert.ok(ages.took('peer', { life: LIFE, at: 90_000 }, 94_000 + AHEAD) > 3900)
})

test('clocks that run apart slowly make no message old', () => {
	const ages = new MessageAges()
	const drift = 0.001
	for (let at = 0; at < 3_600_000; at += 150) {
		assert.ok(ages.took('peer', { life: LIFE, at }, at * (1 + drift) + AHEAD) < 1)
	}
})

test('a sender that does not tell when it sends is taken at its word', () => {
	assert.equal(new MessageAges().took('peer', undefined, 7), 0)
})
