/** The delay of messages is estimated without a common clock. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { MessageDelays } from './MessageDelays'

const INCARNATION = 'life-1'
/** Milliseconds by which this clock is ahead of the sender's. */
const CLOCK_OFFSET = 500_000
/** Transit time of a message without delay. */
const TRANSIT_MS = 2

/**
 * @returns the estimated delay of a message, by its send time on the sender's clock and its transit
 * time.
 */
function delayOf(
	delays: MessageDelays,
	at: number,
	transit = TRANSIT_MS,
	incarnation = INCARNATION
): number {
	return delays.observe('peer', { life: incarnation, at }, at + CLOCK_OFFSET + transit)
}

test('a delayed message is told apart from others of its sender', () => {
	const delays = new MessageDelays()
	assert.equal(delayOf(delays, 1000), 0)
	const held = delayOf(delays, 1100, 800)
	assert.ok(held > 750 && held < 800, `${held} ms`)
	assert.ok(delayOf(delays, 2000, 4) <= 2)
})

test('a restarted sender, whose clock starts again, does not count as delayed', () => {
	const delays = new MessageDelays()
	delayOf(delays, 90_000)
	assert.equal(delays.observe('peer', { life: 'life-2', at: 10 }, 90_500 + CLOCK_OFFSET), 0)
	// Messages of the earlier incarnation are still measured by its own clock.
	assert.ok(delays.observe('peer', { life: INCARNATION, at: 90_000 }, 94_000 + CLOCK_OFFSET) > 3900)
})

test('slow clock drift does not count as delay', () => {
	const delays = new MessageDelays()
	const drift = 0.001
	for (let at = 0; at < 3_600_000; at += 150) {
		assert.ok(
			delays.observe('peer', { life: INCARNATION, at }, at * (1 + drift) + CLOCK_OFFSET) < 1
		)
	}
})

test('a message without a send time counts as not delayed', () => {
	assert.equal(new MessageDelays().observe('peer', undefined, 7), 0)
})
