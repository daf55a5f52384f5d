/** Wide gangs under scarce advice: every rule of jobs holds, all are done, and the plan is what brings their tickets and room together. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { jobsClass, withBroken, type Breakage } from '../testing/brokenParts'
import { firstFailure } from '../testing/firstFailure'
import { JobFault } from './JobFaults'
import { JobRun } from './JobRun'

const CALM = 0
const ROUGH = 1
const WILD = 4
const SPAN = 10_000
/** Seeds among which a protection that is taken out must show. */
const MOST_SEEDS = 6

function runOnce(seed: number, faultRate: number): JobRun {
	const run = new JobRun({ seed, faultRate, jobRate: 6, wideGangs: true })
	run.run(SPAN)
	run.settle()
	return run
}

test('wide gangs are done in calm runs, and no member waits in vain for the others', () => {
	let done = 0
	for (let seed = 1; seed <= 3; seed++) {
		const { alone, wide } = runOnce(seed, CALM).tally
		assert.equal(alone, 0)
		done += wide.done
	}
	assert.ok(done > 20, `${done}`)
})

test('wide gangs under some faults and under many hold every rule of jobs', () => {
	for (let seed = 1; seed <= 3; seed++) runOnce(seed, ROUGH)
	for (let seed = 101; seed <= 103; seed++) runOnce(seed, WILD)
})

/** Nothing goes wrong but that workers refuse starts, for each reason that they may give, and what else is named. */
function runWithRefusals(seed: number, ...others: JobFault[]): JobRun {
	const faults = [JobFault.StartsRefused, ...others]
	const run = new JobRun({ seed, faultRate: ROUGH, jobRate: 6, wideGangs: true, faults })
	run.run(SPAN)
	run.settle()
	return run
}

// Guards against gangs that begin in part: those that had begun waited for the one that was refused.
test('no member of a gang waits in vain for one whose start is refused', () => {
	for (let seed = 1; seed <= 4; seed++) assert.equal(runWithRefusals(seed).tally.alone, 0)
})

test('no member of a gang waits in vain where the leader changes while starts are refused', () => {
	for (let seed = 11; seed <= 14; seed++) {
		assert.equal(runWithRefusals(seed, JobFault.LeaderLost).tally.alone, 0)
	}
})

test('members wait in vain when nobody decides for all of an attempt', () => {
	const unowned: Breakage = [jobsClass('gangs', 'GangAttempts'), 'fail', () => () => undefined]
	const play = (seed: number): void => assert.equal(runWithRefusals(seed).tally.alone, 0)
	assert.match(
		withBroken([unowned], () => firstFailure(play, MOST_SEEDS)),
		/strictly equal/
	)
})

test('without new tickets for the planned moment, gangs wait for good', () => {
	const unrenewed: Breakage = [
		jobsClass('gangs', 'GangPlanner'),
		'askForTickets',
		() => () => undefined,
	]
	const play = (seed: number): unknown => runOnce(seed, CALM)
	assert.match(
		withBroken([unrenewed], () => firstFailure(play, MOST_SEEDS)),
		/an accepted job ends/
	)
})
