/**
 * Tests that a plan finds one moment at which all members have capacity and a ticket, with short
 * questions just before it.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { planGang, type GangNeed, type Place } from './GangPlan'

const NOW = 1000
const TERMS = { base: 500, each: 10, valid: 2000 }

function needOf(changes: Partial<GangNeed> = {}): GangNeed {
	return {
		members: 4,
		now: NOW,
		ticketLife: 1700,
		terms: TERMS,
		hasTicket: () => false,
		delayOf: () => 0,
		...changes,
	}
}

function places(worker: string, count: number, at: number): Place[] {
	return Array.from({ length: count }, () => ({ worker, at }))
}

test('there is no plan without places for all members', () => {
	assert.equal(planGang(places('w1', 3, NOW), needOf()), undefined)
})

test('tickets for capacity that is freed later are requested shortly before, not at once', () => {
	const plan = planGang(places('w1', 4, NOW + 10_000), needOf())
	assert.equal(plan?.at, NOW + 10_000)
	assert.ok(plan.askAt > NOW + 8000 && plan.askAt < NOW + 9500, `${plan.askAt}`)
})

test('the plan for free capacity waits for tickets and names few workers', () => {
	const spread = ['a', 'b', 'c', 'd'].flatMap((worker) => places(worker, 1, NOW))
	const plan = planGang([...spread, ...places('wide', 4, NOW)], needOf())
	assert.deepEqual(new Set(plan?.places.map(({ worker }) => worker)), new Set(['wide']))
	assert.ok(plan!.askAt <= NOW)
	assert.equal(plan!.at, NOW + TERMS.base + TERMS.each * plan!.workersToAsk.length)
})

test('present tickets that are valid until there is capacity are used without a question', () => {
	const from = [...places('held', 4, NOW + 300), ...places('free', 4, NOW)]
	const plan = planGang(from, needOf({ hasTicket: (worker) => worker === 'held' }))
	assert.equal(plan?.at, NOW + 300)
	assert.deepEqual(plan.workersToAsk, [])
})

test('tickets that expire before there is capacity do not count', () => {
	const hasTicket = (_: string, moment: number): boolean => moment < NOW + 1000
	const plan = planGang(places('w1', 4, NOW + 1000), needOf({ hasTicket }))
	assert.deepEqual(plan?.workersToAsk, ['w1'])
})

test('an unreliable worker is used only if the others are free much later', () => {
	const delayOf = (worker: string): number => (worker === 'flaps' ? 1500 : 0)
	const workersWith = (at: number): string[] => {
		const from = [...places('flaps', 4, NOW), ...places('steady', 4, at)]
		return planGang(from, needOf({ delayOf }))!.places.map(({ worker }) => worker)
	}
	assert.deepEqual(new Set(workersWith(NOW + 1000)), new Set(['steady']))
	assert.deepEqual(new Set(workersWith(NOW + 9000)), new Set(['flaps']))
})

test('every plan has a place for each member that is free in time and has a valid or requested ticket', () => {
	const place = fc.record({
		worker: fc.constantFrom('a', 'b', 'c', 'd', 'e', 'f'),
		at: fc.integer({ min: NOW, max: NOW + 6000 }),
	})
	const until = fc.dictionary(fc.constantFrom('a', 'b', 'c', 'd'), fc.nat(8000))
	fc.assert(
		fc.property(fc.array(place, { maxLength: 30 }), until, (from, tickets) => {
			from.sort((left, right) => left.at - right.at)
			const hasTicket = (worker: string, moment: number): boolean => moment < (tickets[worker] ?? 0)
			const plan = planGang(from, needOf({ hasTicket }))
			assert.equal(plan === undefined, from.length < 4)
			if (!plan) return
			assert.equal(plan.places.length, 4)
			for (const { worker, at } of plan.places) {
				assert.ok(at <= plan.at)
				assert.ok(hasTicket(worker, plan.at) || plan.workersToAsk.includes(worker))
			}
		})
	)
})
