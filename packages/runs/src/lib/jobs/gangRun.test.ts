/**
 * Wide gangs under scarce advice: every rule of jobs holds and all gangs complete, because the plan
 * aligns their tickets with free capacity.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { jobsClass, withPatchedMethods, type MethodPatch } from '../testing/withPatchedMethods'
import { firstFailure } from '../testing/firstFailure'
import { JobFault } from './JobFaults'
import { JobRun } from './JobRun'

const NO_FAULTS = 0
const SOME_FAULTS = 1
const MANY_FAULTS = 4
const SPAN = 10_000
/** Number of seeds among which a run must fail without a protection. */
const MAX_SEEDS = 6

function runOnce(seed: number, faultRate: number): JobRun {
	const run = new JobRun({ seed, faultRate, jobRate: 6, wideGangs: true })
	run.run(SPAN)
	run.settle()
	return run
}

test('wide gangs complete in runs without faults, and no member times out waiting for the others', () => {
	let done = 0
	for (let seed = 1; seed <= 3; seed++) {
		const { timedOutMembers, wideGangs } = runOnce(seed, NO_FAULTS).tally
		assert.equal(timedOutMembers, 0)
		done += wideGangs.done
	}
	assert.ok(done > 20, `${done}`)
})

test('wide gangs keep every rule of jobs under some and many faults', () => {
	for (let seed = 1; seed <= 3; seed++) runOnce(seed, SOME_FAULTS)
	for (let seed = 101; seed <= 103; seed++) runOnce(seed, MANY_FAULTS)
})

/**
 * The only faults are workers that refuse starts, for any reason they may give, and the given ones.
 */
function runWithRefusals(seed: number, ...others: JobFault[]): JobRun {
	const faults = [JobFault.StartsRefused, ...others]
	const run = new JobRun({ seed, faultRate: SOME_FAULTS, jobRate: 6, wideGangs: true, faults })
	run.run(SPAN)
	run.settle()
	return run
}

// Guards against gangs that start in part: the members that had started waited for the one whose
// start was refused.
test('no member of a gang times out waiting for one whose start is refused', () => {
	for (let seed = 1; seed <= 4; seed++) assert.equal(runWithRefusals(seed).tally.timedOutMembers, 0)
})

test('no member of a gang times out when the leader changes while starts are refused', () => {
	for (let seed = 11; seed <= 14; seed++) {
		assert.equal(runWithRefusals(seed, JobFault.LeaderLost).tally.timedOutMembers, 0)
	}
})

test('members time out without one decision for all members of an attempt', () => {
	const unowned: MethodPatch = [jobsClass('gangs', 'GangAttempts'), 'fail', () => () => undefined]
	const runSeed = (seed: number): void =>
		assert.equal(runWithRefusals(seed).tally.timedOutMembers, 0)
	assert.match(
		withPatchedMethods([unowned], () => firstFailure(runSeed, MAX_SEEDS)),
		/strictly equal/
	)
})

test('without new tickets for the planned start, gangs wait forever', () => {
	const unrenewed: MethodPatch = [
		jobsClass('gangs', 'GangPlanner'),
		'askForTickets',
		() => () => undefined,
	]
	const runSeed = (seed: number): unknown => runOnce(seed, NO_FAULTS)
	assert.match(
		withPatchedMethods([unrenewed], () => firstFailure(runSeed, MAX_SEEDS)),
		/an accepted job ends/
	)
})
