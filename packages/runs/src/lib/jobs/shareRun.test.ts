/**
 * Accounts of one weight that compete for a full service, of which one or two send seven times their usual: what the others get, shown
 * twice, with their shares and without.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { jobsClass, withBroken, type Breakage } from '../testing/brokenParts'
import { fairnessOf, servedOf, type Competition, type Served } from './CompetingAccounts'
import { JobRun } from './JobRun'

const SPAN = 30_000
const SEEDS = [1, 2, 3]
/** Jain's index over what accounts got of what was theirs. */
const FAIR = 0.95
const USUAL: Competition = { accounts: 6, usual: 1.2, pressing: 0, times: 7 }
const ONE: Competition = { ...USUAL, pressing: 1 }
const TWO: Competition = { ...USUAL, pressing: 2 }
/** By how much the share of jobs in time of those who send their usual may fall while one presses. */
const MOST_LOSS = 0.05
/** The same while two press: they leave less room that comes free soon, and shares stop nothing that runs. */
const MOST_LOSS_BY_TWO = 0.1

/** @returns what accounts got in a run of each seed. */
function play(competition: Competition, faultRate = 0): Served[][] {
	return SEEDS.map((seed) => {
		const policy = { overload: true, shares: true }
		const run = new JobRun({ seed, faultRate, jobRate: 0, competition, policy })
		run.run(SPAN)
		const served = servedOf(run.jobs, run.clock.date().getTime())
		if (faultRate > 0) run.settle()
		return served
	})
}

/** @returns the share of jobs in time of the accounts that send their usual, in all runs. */
function inTimeOf(runs: readonly Served[][], { pressing }: Competition): number {
	const others = runs.flat().filter(({ account }) => Number(account) >= pressing)
	const inTime = others.reduce((sum, entry) => sum + entry.inTime, 0)
	return inTime / others.reduce((sum, { jobs }) => sum + jobs, 0)
}

function meanFairness(runs: readonly Served[][]): number {
	return runs.reduce((sum, served) => sum + fairnessOf(served), 0) / runs.length
}

const calm = inTimeOf(play(USUAL), USUAL)

for (const [text, competition, loss] of [
	['one account sends', ONE, MOST_LOSS],
	['two accounts send', TWO, MOST_LOSS_BY_TWO],
] as const) {
	test(`while ${text} seven times the usual, all get what is theirs and the others stay in time`, () => {
		const runs = play(competition)
		assert.ok(meanFairness(runs) >= FAIR, `Jain's index ${meanFairness(runs)}`)
		const inTime = inTimeOf(runs, competition)
		assert.ok(inTime >= calm - loss, `in time ${inTime}, ${calm} without`)
	})
}

test('runs with losses of leaders, workers and links under such load hold every rule', () => {
	play(ONE, 1)
})

test('without shares the others are late with the account that presses', () => {
	const blind: Breakage = [jobsClass('shares', 'AccountShares'), 'isOverShare', () => () => false]
	const runs = withBroken([blind], () => play(ONE))
	assert.ok(inTimeOf(runs, ONE) < calm - MOST_LOSS_BY_TWO)
})
