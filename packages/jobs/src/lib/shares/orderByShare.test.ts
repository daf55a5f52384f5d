/** One pass over the waiting steps of a full service, whose accounts go over their shares in the middle of it. */
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

/** Begins what fits in turn. @returns the steps in the order in which they were tried, with whether each began and was over then. */
function place(steps: readonly Step[], room: number) {
	const held = new Map<number, number>()
	const isOver = ({ account }: Step): boolean => (held.get(account) ?? 0) > SHARE
	const tried: { step: Step; began: boolean; over: boolean }[] = []
	let free = room
	for (const next of orderByShare([...steps].sort(byUrgency), isOver)) {
		const began = next.size <= free
		tried.push({ step: next, began, over: isOver(next) })
		if (!began) continue
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
const room = fc.integer({ min: 0, max: 120 })

test('nothing of an account over its share begins before what is within one and of the same priority and use', () => {
	fc.assert(
		fc.property(steps, room, (waiting, free) => {
			const { tried } = place(waiting, free)
			tried.forEach(({ step: first, began, over }, at) => {
				if (!began || !over) return
				const passed = tried
					.slice(at + 1)
					.filter((later) => sameTier(later.step.urgency, first.urgency))
				assert.ok(passed.every((later) => later.over))
			})
		})
	)
})

test('every step is tried once, and none waits for which there is room', () => {
	fc.assert(
		fc.property(steps, room, (waiting, space) => {
			const { tried, free } = place(waiting, space)
			assert.equal(tried.length, waiting.length)
			assert.equal(new Set(tried.map((one) => one.step)).size, waiting.length)
			assert.ok(tried.every(({ began, step: { size } }) => began || size > free))
		})
	)
})
