/**
 * One pass over the waiting steps of a full service, during which accounts go over their shares.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { compareUrgency, type Urgency } from '../placement/StepUrgency'
import { orderByShare } from './orderByShare'

interface Step {
	readonly account: number
	readonly size: number
	readonly urgency: Urgency
}

const SHARE = 10

const step: fc.Arbitrary<Step> = fc.record({
	account: fc.integer({ min: 0, max: 3 }),
	size: fc.integer({ min: 1, max: 6 }),
	urgency: fc.record({
		beyondRate: fc.boolean(),
		priority: fc.integer({ min: 0, max: 1 }),
		usefulness: fc.constantFrom(0, 1, 2) as fc.Arbitrary<Urgency['usefulness']>,
		overShare: fc.constant(false),
		latestStart: fc.integer({ min: 0, max: 1000 }),
	}),
})

/**
 * Starts the steps that fit, in order.
 *
 * @returns the steps as tried, with whether each was started and whether its account was over its
 * share.
 */
function place(steps: readonly Step[], capacity: number) {
	const held = new Map<number, number>()
	const isOver = ({ account }: Step): boolean => (held.get(account) ?? 0) > SHARE
	const tried: { step: Step; started: boolean; over: boolean }[] = []
	let free = capacity
	for (const next of orderByShare([...steps].sort(byUrgency), isOver)) {
		const started = next.size <= free
		tried.push({ step: next, started, over: isOver(next) })
		if (!started) continue
		free -= next.size
		held.set(next.account, (held.get(next.account) ?? 0) + next.size)
	}
	return { tried, free }
}

function byUrgency(left: Step, right: Step): number {
	return compareUrgency(left.urgency, right.urgency)
}

function sameTier(left: Urgency, right: Urgency): boolean {
	const same = left.beyondRate === right.beyondRate && left.priority === right.priority
	return same && left.usefulness === right.usefulness
}

const steps = fc.array(step, { maxLength: 40 })
const capacities = fc.integer({ min: 0, max: 120 })

test('no step of an account over its share starts before a step of the same tier whose account is within its share', () => {
	fc.assert(
		fc.property(steps, capacities, (waiting, free) => {
			const { tried } = place(waiting, free)
			tried.forEach(({ step: first, started, over }, at) => {
				if (!started || !over) return
				const passed = tried
					.slice(at + 1)
					.filter((later) => sameTier(later.step.urgency, first.urgency))
				assert.ok(passed.every((later) => later.over))
			})
		})
	)
})

test('every step is tried once, and no step waits that fits into the free capacity', () => {
	fc.assert(
		fc.property(steps, capacities, (waiting, capacity) => {
			const { tried, free } = place(waiting, capacity)
			assert.equal(tried.length, waiting.length)
			assert.equal(new Set(tried.map((one) => one.step)).size, waiting.length)
			assert.ok(tried.every(({ started, step: { size } }) => started || size > free))
		})
	)
})
