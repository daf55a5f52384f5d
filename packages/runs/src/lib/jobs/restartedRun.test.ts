/**
 * Seeded runs in which workers end without a word and start again under the id that they had, singly and a rack at a time, within a poll and
 * after seconds, alone and beside all other faults: each life numbers its heartbeats and ends from 1, has a clock of its own, and has seen no fence.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { jobsClass, withPatchedMethods, type MethodPatch } from '../testing/withPatchedMethods'
import { firstFailure } from '../testing/firstFailure'
import { COMMON_FAULTS, RESTART_FAULTS, CRASH_WAVES, type JobFault } from './JobFaults'
import { JobRun } from './JobRun'

const SOME = 0.3
const MANY = 1
const SPAN = 12_000
/** Seeds among which a protection that is taken out must show. */
const MOST_SEEDS = 30
const EVERYTHING = [
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

/** Milliseconds for which carriers stand still: most orders are too old to be carried then. */
const LONG_HOLD = [600, 2500] as const
/** The same, where orders are still carried. */
const BRIEF_HOLD = [250, 480] as const

/** Instances that carry orders stand still, workers start again meanwhile, and what was held reaches their next lives. */
function runWithOrdersAcrossLives(seed: number, hold: readonly [number, number] = LONG_HOLD): void {
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

test('workers that start again under their id break no rule', () => {
	for (let seed = 1; seed <= 12; seed++) runWithRestarts(seed, SOME, RESTART_FAULTS)
	for (let seed = 1; seed <= 12; seed++) runWithRestarts(seed, MANY, RESTART_FAULTS)
	for (let seed = 101; seed <= 112; seed++) runWithRestarts(seed, MANY, EVERYTHING)
})

test('orders that are let go after their workers have started again break no rule', () => {
	for (let seed = 1; seed <= 12; seed++) runWithOrdersAcrossLives(seed)
	for (let seed = 1; seed <= 12; seed++) runWithOrdersAcrossLives(seed, BRIEF_HOLD)
})

test('the runs with seeds 109, 4059 and 4013, which once failed: where workers restart all the time, three losses at its beginning gave up a task', () => {
	runWithRestarts(109, MANY, RESTART_FAULTS, 15_000)
	runWithRestarts(4059, MANY, RESTART_FAULTS)
	const run = new JobRun({
		seed: 4013,
		faultRate: 4,
		jobRate: 4,
		faults: EVERYTHING,
		crashingTasks: true,
	})
	run.run(SPAN)
	run.settle()
})

for (const seed of [2021, 2062]) {
	test(`the run with seed ${seed}, which once failed: a new life kept what it ran by the lease and clock of the earlier one`, () => {
		runWithRestarts(seed, MANY, EVERYTHING)
	})
}

interface Break {
	readonly rule: RegExp
	readonly without: string
	readonly breaks: () => MethodPatch[]
	readonly play: (seed: number) => unknown
}

const withMany = (seed: number): unknown => runWithRestarts(seed, MANY, RESTART_FAULTS)

const BREAKS: readonly Break[] = [
	{
		rule: /does not begin again|an accepted job ends|is known by its current incarnation/,
		without: 'telling lives apart in lists',
		breaks: () => [
			[
				jobsClass('leader/workers', 'IncarnationChanges'),
				'onOtherIncarnation',
				() => () => undefined,
			],
		],
		play: withMany,
	},
	{
		rule: /is known by its current incarnation/,
		without: 'telling lives apart in heartbeats',
		breaks: () => [
			[
				jobsClass('leader/workers', 'IncarnationChanges'),
				'resolveOccupant',
				() => (_known, _claimant, done) => (done as (occupant: string) => void)('known'),
			],
		],
		play: withMany,
	},
	{
		rule: /an accepted job ends|crashes its workers ends|a lasting task is at work/,
		without: 'telling lives apart in evidence of crashes',
		breaks: () => [
			[
				jobsClass('state', 'JobTable'),
				'countCrash',
				(original) =>
					function (place, worker, evidence) {
						return original.call(this, place, (worker as string).split('@')[0], evidence)
					},
			],
		],
		play: withMany,
	},
	{
		rule: /a task runs once at a time|does not begin again/,
		without: 'stopping what a new life began by orders for the earlier one',
		breaks: () => [
			[
				jobsClass('leader/workers', 'IncarnationChanges'),
				'onRunsListed',
				() =>
					function (change) {
						;(this as { finish(change: unknown): void }).finish(change)
					},
			],
		],
		play: withMany,
	},
	{
		rule: /a task runs once at a time|does not begin again|more than it has/,
		without: 'a fence that rises with each life',
		breaks: () => [
			[
				jobsClass('leader/workers', 'FenceTokens'),
				'next',
				() =>
					function () {
						return (this as { term: number }).term * 2 ** 20
					},
			],
		],
		play: (seed) => runWithOrdersAcrossLives(seed, BRIEF_HOLD),
	},
]

for (const { rule, without, breaks, play } of BREAKS) {
	test(`without ${without} runs with restarts fail`, () => {
		assert.match(
			withPatchedMethods(breaks(), () => firstFailure(play, MOST_SEEDS)),
			rule
		)
	})
}
