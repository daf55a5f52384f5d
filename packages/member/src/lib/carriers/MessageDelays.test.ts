/** How long messages were held up is told without a common clock. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { MessageDelays } from './MessageDelays'

const INCARNATION = 'life-1'
/** What this clock shows beyond the sender's. */
const CLOCK_OFFSET = 500_000
/** Milliseconds that a message takes which nothing holds up. */
const TRANSIT_MS = 2

/** @returns the age of a message that was sent at a moment of the sender's clock and took so long. */
function delayOf(
	delays: MessageDelays,
	at: number,
	transit = TRANSIT_MS,
	incarnation = INCARNATION
): number {
	return delays.observe('peer', { life: incarnation, at }, at + CLOCK_OFFSET + transit)
}

test('a message that was held up is told from others of its sender', () => {
	const delays = new MessageDelays()
	assert.equal(delayOf(delays, 1000), 0)
	const held = delayOf(delays, 1100, 800)
	assert.ok(held > 750 && held < 800, `${held} ms`)
	assert.ok(delayOf(delays, 2000, 4) <= 2)
})

test('a sender that starts again, whose clock begins anew, is not taken for one that is held up', () => {
	const delays = new MessageDelays()
	delayOf(delays, 90_000)
	assert.equal(delays.observe('peer', { life: 'life-2', at: 10 }, 90_500 + CLOCK_OFFSET), 0)
	// What its earlier life sent still counts as what it is.
	assert.ok(delays.observe('peer', { life: INCARNATION, at: 90_000 }, 94_000 + CLOCK_OFFSET) > 3900)
})

test('clocks that run apart slowly make no message old', () => {
	const delays = new MessageDelays()
	const drift = 0.001
	for (let at = 0; at < 3_600_000; at += 150) {
		assert.ok(
			delays.observe('peer', { life: INCARNATION, at }, at * (1 + drift) + CLOCK_OFFSET) < 1
		)
	}
})

test('a sender that does not tell when it sends is taken at its word', () => {
	assert.equal(new MessageDelays().observe('peer', undefined, 7), 0)
})
