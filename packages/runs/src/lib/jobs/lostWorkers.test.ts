/**
 * Seeded runs in which workers are lost for good: their machines never come back, so nothing but
 * time tells what became of them.
 */
import { test } from 'node:test'
import { JobFault, PERMANENT_LOSSES } from './JobFaults'
import { JobRun } from './JobRun'

const SPAN = 12_000
/** From the loss of a worker until its runs have been abandoned and have started elsewhere. */
const LEASE_MS = 4150

/** Loses two workers for good, and two more once the runs of the first have started elsewhere. */
function runWithTwoLosses(seed: number): JobRun {
	const run = new JobRun({ seed, faultRate: 0, jobRate: 6 })
	const lose = (numbers: readonly number[]): void => {
		for (const number of numbers) run.fleet.loseForGood(run.fleet.machines[number])
	}
	run.run(3000)
	lose([0, 3])
	run.run(LEASE_MS)
	lose([6, 9])
	return run
}

test('runs in which workers are lost for good keep every rule of jobs', () => {
	const faults = [...PERMANENT_LOSSES, JobFault.LeaderLost, JobFault.WorkerLost]
	for (let seed = 1; seed <= 8; seed++) {
		const run = new JobRun({ seed, faultRate: 1, jobRate: 4, faults })
		run.run(SPAN)
		run.settle()
	}
})

for (const seed of [9, 12, 17]) {
	test(`no job is left after its task has lost two workers for good, seed ${seed}`, () => {
		runWithTwoLosses(seed).settle()
	})
}
