/**
 * Workers of uneven speed: every rule of jobs holds, and gangs avoid workers that are known to be
 * slow.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { jobsClass, withPatchedMethods } from '../testing/withPatchedMethods'
import { JobRun } from './JobRun'

const NO_FAULTS = 0
const MANY_FAULTS = 4
const SPAN = 20_000
const SEEDS = 16
const SLOW_SPEED = 0.45

/** @returns the speed of a worker; one of four is slow. */
function quarterSlow(worker: number): number {
	return worker % 4 === 0 ? SLOW_SPEED : 1
}

function runOnce(seed: number, faultRate: number): JobRun {
	const run = new JobRun({ seed, faultRate, jobRate: 4, speedOf: quarterSlow })
	run.run(SPAN)
	return run
}

/** @returns the share of gangs that a slow worker slowed down. */
function slowShare(): number {
	let gangs = 0
	let slow = 0
	for (let seed = 1; seed <= SEEDS; seed++) {
		const run = runOnce(seed, NO_FAULTS)
		run.settle()
		gangs += run.tally.gangs
		slow += run.tally.slowGangs
	}
	return slow / gangs
}

test('runs with workers of uneven, changing speed keep every rule of jobs', () => {
	for (let seed = 1; seed <= SEEDS; seed++) {
		const run = runOnce(seed, MANY_FAULTS)
		run.fleet.machines.forEach((machine, number) => {
			machine.speed = quarterSlow(number + 1)
		})
		run.loseLeader(50)
		run.run(SPAN / 2)
		run.settle()
	}
})

test('gangs avoid slow workers; without learning their speed at least a third more gangs are slow', () => {
	const learned = slowShare()
	const unlearned = withPatchedMethods(
		[[jobsClass('speeds', 'WorkerSpeeds'), 'speedOf', () => () => 1]],
		slowShare
	)
	assert.ok(learned * 1.33 < unlearned, `${learned} of the gangs slow, ${unlearned} unlearned`)
})
