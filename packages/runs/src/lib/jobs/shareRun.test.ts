/**
 * Accounts of equal weight compete for a service at full load, and one or two of them submit seven
 * times their usual rate: the others receive their shares, and do not without the mechanism of
 * shares.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { jobsClass, withPatchedMethods, type MethodPatch } from '../testing/withPatchedMethods'
import { jainIndexOf, servedWorkOf, type Competition, type ServedWork } from './CompetingAccounts'
import { JobRun } from './JobRun'

const SPAN = 30_000
const SEEDS = [1, 2, 3]
/**
 * Minimum of Jain's fairness index over the fractions of their fair shares that accounts receive.
 */
const MIN_FAIRNESS = 0.95
const USUAL: Competition = { accounts: 6, usualRate: 1.2, overloading: 0, overloadFactor: 7 }
const ONE: Competition = { ...USUAL, overloading: 1 }
const TWO: Competition = { ...USUAL, overloading: 2 }
/**
 * How far the share of jobs in time of the other accounts may fall while one account overloads the
 * service.
 */
const MAX_LOSS = 0.05
/**
 * The same while two overload it: less capacity becomes free soon, and shares do not stop running
 * work.
 */
const MAX_LOSS_BY_TWO = 0.1

/** @returns the work that accounts received in the run of each seed. */
function runSeeds(competition: Competition, faultRate = 0): ServedWork[][] {
	return SEEDS.map((seed) => {
		const policy = { overload: true, shares: true }
		const run = new JobRun({ seed, faultRate, jobRate: 0, competition, policy })
		run.run(SPAN)
		const served = servedWorkOf(run.jobs, run.clock.date().getTime())
		if (faultRate > 0) run.settle()
		return served
	})
}

/**
 * @returns the share of jobs in time, over all runs, of the accounts that submit at their usual
 * rate.
 */
function inTimeOf(runs: readonly ServedWork[][], { overloading }: Competition): number {
	const others = runs.flat().filter(({ account }) => Number(account) >= overloading)
	const inTime = others.reduce((sum, entry) => sum + entry.inTime, 0)
	return inTime / others.reduce((sum, { jobs }) => sum + jobs, 0)
}

function meanFairness(runs: readonly ServedWork[][]): number {
	return runs.reduce((sum, served) => sum + jainIndexOf(served), 0) / runs.length
}

const usualInTime = inTimeOf(runSeeds(USUAL), USUAL)

for (const [text, competition, loss] of [
	['one account submits', ONE, MAX_LOSS],
	['two accounts submit', TWO, MAX_LOSS_BY_TWO],
] as const) {
	test(`while ${text} seven times the usual rate, all receive their fair shares and the others stay in time`, () => {
		const runs = runSeeds(competition)
		assert.ok(meanFairness(runs) >= MIN_FAIRNESS, `Jain's index ${meanFairness(runs)}`)
		const inTime = inTimeOf(runs, competition)
		assert.ok(inTime >= usualInTime - loss, `in time ${inTime}, ${usualInTime} without overload`)
	})
}

test('runs with losses of leaders, workers and links under overload keep every rule', () => {
	runSeeds(ONE, 1)
})

test('without shares the other accounts are late too', () => {
	const withoutShares: MethodPatch = [
		jobsClass('shares', 'AccountShares'),
		'isOverShare',
		() => () => false,
	]
	const runs = withPatchedMethods([withoutShares], () => runSeeds(ONE))
	assert.ok(inTimeOf(runs, ONE) < usualInTime - MAX_LOSS_BY_TWO)
})
