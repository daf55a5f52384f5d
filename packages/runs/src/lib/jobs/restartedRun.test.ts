/**
 * Seeded runs in which workers crash and restart under the same name: one worker or a rack at a
 * time, within a poll or after seconds, without and with all other faults. Each incarnation numbers
 * its heartbeats and ends from 1, has a clock of its own, and has seen no fence.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { jobsClass, withPatchedMethods, type MethodPatch } from '../testing/withPatchedMethods'
import { firstFailure } from '../testing/firstFailure'
import { COMMON_FAULTS, RESTART_FAULTS, CRASH_WAVES, type JobFault } from './JobFaults'
import { JobRun } from './JobRun'

const SOME_FAULTS = 0.3
const MANY_FAULTS = 1
const SPAN = 12_000
/** Number of seeds among which a run must fail without a protection. */
const MAX_SEEDS = 30
const EVERY_FAULT = [
	...COMMON_FAULTS,
	...CRASH_WAVES,
	...RESTART_FAULTS,
	...RESTART_FAULTS,
	...RESTART_FAULTS,
]

function runWithRestarts(
	seed: number,
	faultRate: number,
	faults: readonly JobFault[],
	span = SPAN
): JobRun {
	const run = new JobRun({ seed, faultRate, jobRate: 4, faults })
	run.run(span)
	run.settle()
	return run
}

/**
 * Minimum and maximum freeze of carriers after which most orders are too old to be delivered, in
 * milliseconds.
 */
const LONG_HOLD = [600, 2500] as const
/** Minimum and maximum freeze after which orders are still delivered, in milliseconds. */
const BRIEF_HOLD = [250, 480] as const

/**
 * Freezes carriers and restarts workers meanwhile, so that held orders reach the next incarnations.
 */
function runWithOrdersAcrossIncarnations(
	seed: number,
	hold: readonly [number, number] = LONG_HOLD
): void {
	const run = new JobRun({ seed, faultRate: 0, jobRate: 6, reportsStartTime: true })
	for (let round = 0; round < 8; round++) {
		run.run(600)
		for (const carrier of run.carriers) carrier.freeze(run.random.integer(...hold))
		run.run(run.random.integer(10, 240))
		for (const machine of run.fleet.machines) {
			if (run.random.chance(0.5)) run.fleet.restart(machine, run.random.integer(10, 300))
		}
		run.run(2500)
	}
	run.settle()
}

test('workers that restart under their name break no rule', () => {
	for (let seed = 1; seed <= 12; seed++) runWithRestarts(seed, SOME_FAULTS, RESTART_FAULTS)
	for (let seed = 1; seed <= 12; seed++) runWithRestarts(seed, MANY_FAULTS, RESTART_FAULTS)
	for (let seed = 101; seed <= 112; seed++) runWithRestarts(seed, MANY_FAULTS, EVERY_FAULT)
})

test('orders released after the restart of their workers break no rule', () => {
	for (let seed = 1; seed <= 12; seed++) runWithOrdersAcrossIncarnations(seed)
	for (let seed = 1; seed <= 12; seed++) runWithOrdersAcrossIncarnations(seed, BRIEF_HOLD)
})

test('regression, seeds 109, 4059 and 4013: a task failed after three losses at its start while workers restart all the time', () => {
	runWithRestarts(109, MANY_FAULTS, RESTART_FAULTS, 15_000)
	runWithRestarts(4059, MANY_FAULTS, RESTART_FAULTS)
	const run = new JobRun({
		seed: 4013,
		faultRate: 4,
		jobRate: 4,
		faults: EVERY_FAULT,
		crashingTasks: true,
	})
	run.run(SPAN)
	run.settle()
})

for (const seed of [2021, 2062]) {
	test(`regression, seed ${seed}: a new incarnation kept its runs by the lease and clock of the earlier one`, () => {
		runWithRestarts(seed, MANY_FAULTS, EVERY_FAULT)
	})
}

interface PatchCase {
	readonly rule: RegExp
	readonly without: string
	readonly patches: () => MethodPatch[]
	readonly runSeed: (seed: number) => unknown
}

const runWithManyRestarts = (seed: number): unknown =>
	runWithRestarts(seed, MANY_FAULTS, RESTART_FAULTS)

const PATCHES: readonly PatchCase[] = [
	{
		rule: /does not begin again|an accepted job ends|is known by its present life/,
		without: 'distinguishing incarnations in lists of runs',
		patches: () => [
			[
				jobsClass('leader/workers', 'IncarnationChanges'),
				'onOtherIncarnation',
				() => () => undefined,
			],
		],
		runSeed: runWithManyRestarts,
	},
	{
		rule: /is known by its present life/,
		without: 'distinguishing incarnations in heartbeats',
		patches: () => [
			[
				jobsClass('leader/workers', 'IncarnationChanges'),
				'resolveOccupant',
				() => (_known, _claimant, done) => (done as (occupant: string) => void)('known'),
			],
		],
		runSeed: runWithManyRestarts,
	},
	{
		rule: /an accepted job ends|crashes its workers ends|a lasting task is at work/,
		without: 'distinguishing incarnations in evidence of crashes',
		patches: () => [
			[
				jobsClass('state', 'JobTable'),
				'countCrash',
				(original) =>
					function (place, worker, evidence) {
						return original.call(this, place, (worker as string).split('@')[0], evidence)
					},
			],
		],
		runSeed: runWithManyRestarts,
	},
	{
		rule: /a task runs once at a time|does not begin again/,
		without: 'stopping runs that a new incarnation started by orders for the earlier one',
		patches: () => [
			[
				jobsClass('leader/workers', 'IncarnationChanges'),
				'onRunsListed',
				() =>
					function (change) {
						;(this as { finish(change: unknown): void }).finish(change)
					},
			],
		],
		runSeed: runWithManyRestarts,
	},
	{
		rule: /a task runs once at a time|does not begin again|more than it has/,
		without: 'a fence that rises with each incarnation',
		patches: () => [
			[
				jobsClass('leader/workers', 'FenceTokens'),
				'next',
				() =>
					function () {
						return (this as { term: number }).term * 2 ** 20
					},
			],
		],
		runSeed: (seed) => runWithOrdersAcrossIncarnations(seed, BRIEF_HOLD),
	},
]

for (const { rule, without, patches, runSeed } of PATCHES) {
	test(`runs with restarts fail without ${without}`, () => {
		assert.match(
			withPatchedMethods(patches(), () => firstFailure(runSeed, MAX_SEEDS, rule)),
			rule
		)
	})
}
