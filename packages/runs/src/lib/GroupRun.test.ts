/** Randomised runs of a group under every fault; the replicas and their witness hold the invariants. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import type { Founder } from '@rillrudder/consensus'
import { GroupRun } from './GroupRun'

const founder = (id: string, durable: boolean, local: boolean): Founder => ({ id, durable, local })

const LAYOUTS: Founder[][] = [
	[founder('a', true, true), founder('b', false, true), founder('c', true, false)],
	[founder('a', false, true), founder('b', true, true), founder('c', true, false)],
	[founder('a', true, true), founder('b', true, true), founder('c', true, true)],
	['a', 'b', 'c', 'd', 'e'].map((id) => founder(id, true, true)),
]

test('a group loses nothing and keeps one leader and one lease under faults', () => {
	const layout = fc.constantFrom(...LAYOUTS)
	const faultRate = fc.constantFrom(0.005, 0.02, 0.04)
	const seed = fc.integer({ min: 1, max: 1_000_000 })
	fc.assert(
		fc.property(layout, faultRate, seed, (founders, rate, number) => {
			const run = new GroupRun({ seed: number, founders, faultRate: rate })
			run.steps(3000)
			run.settle()
			assert.ok(run.tally.committed > 0)
		}),
		{ seed: 20_260_101, numRuns: 24, endOnFailure: true }
	)
})

test('a run is made again exactly from its seed', () => {
	const options = { seed: 5, founders: LAYOUTS[0], faultRate: 0.02 }
	const tallies = [new GroupRun(options), new GroupRun(options)].map((run) => {
		run.steps(2000)
		run.settle()
		return run.tally
	})
	assert.deepEqual(tallies[0], tallies[1])
})
