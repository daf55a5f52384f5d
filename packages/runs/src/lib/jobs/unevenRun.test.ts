/** Workers of uneven speed: every rule of jobs holds, and gangs keep off slow workers as long as these are known. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { jobsClass, withPatchedMethods } from '../testing/withPatchedMethods'
import { JobRun } from './JobRun'

const CALM = 0
const WILD = 4
const SPAN = 20_000
const SEEDS = 16
const SLOW = 0.45

/** One worker in four is slow. */
function quarterSlow(worker: number): number {
	return worker % 4 === 0 ? SLOW : 1
}

function runOnce(seed: number, faultRate: number): JobRun {
	const run = new JobRun({ seed, faultRate, jobRate: 4, speedOf: quarterSlow })
	run.run(SPAN)
	return run
}

/** Share of the gangs that went as slowly as a slow worker. */
function slowShare(): number {
	let gangs = 0
	let slow = 0
	for (let seed = 1; seed <= SEEDS; seed++) {
		const run = runOnce(seed, CALM)
		run.settle()
		gangs += run.tally.gangs
		slow += run.tally.slowGangs
	}
	return slow / gangs
}

test('runs with workers of uneven speed that changes hold every rule of jobs', () => {
	for (let seed = 1; seed <= SEEDS; seed++) {
		const run = runOnce(seed, WILD)
		run.fleet.machines.forEach((machine, number) => {
			machine.speed = quarterSlow(number + 1)
		})
		run.loseLeader(50)
		run.run(SPAN / 2)
		run.settle()
	}
})

test('gangs keep off slow workers; without learning their speed a third more of them are slow at least', () => {
	const learned = slowShare()
	const unlearned = withPatchedMethods(
		[[jobsClass('speeds', 'WorkerSpeeds'), 'speedOf', () => () => 1]],
		slowShare
	)
	assert.ok(learned * 1.33 < unlearned, `${learned} of the gangs slow, ${unlearned} unlearned`)
})
