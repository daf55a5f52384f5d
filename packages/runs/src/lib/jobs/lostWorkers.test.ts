/**
 * Seeded runs in which workers are lost for good: their machines never come back, so nothing but
 * time tells what became of them.
 */
import { test } from 'node:test'
import { ALL_FAULTS, JobFault, PERMANENT_LOSSES } from './JobFaults'
import { JobRun, type JobRunOptions } from './JobRun'

const SPAN = 12_000
/** From the loss of a worker until its runs have been abandoned and have started elsewhere. */
const LEASE_MS = 4150
const LONG_SPAN = 20_000
const FAULT_RATES = [0.5, 1.5, 4]
const GONE_SHARE = 0.3
const QUIET_LEADER_PERIOD = 20_000

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

/** Runs under every fault, in which some of the workers that crash never come back. */
function runWithReplacements(seed: number, options: Partial<JobRunOptions>): void {
	const faultRate = FAULT_RATES[seed % FAULT_RATES.length]
	const common = { seed, faultRate, jobRate: 4, faults: ALL_FAULTS, goneShare: GONE_SHARE }
	const run = new JobRun({ ...common, ...options })
	run.run(LONG_SPAN)
	run.settle()
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

interface Replacements {
	readonly name: string
	readonly options: Partial<JobRunOptions>
	/** One for each rate of faults. */
	readonly seeds: readonly number[]
}

const REPLACEMENTS: readonly Replacements[] = [
	{ name: 'crashed workers', options: {}, seeds: [5003, 5035, 5058] },
	{
		name: 'workers that tasks crash',
		options: { crashingTasks: true },
		seeds: [5000, 5008, 5010],
	},
	{
		name: 'workers that tasks crash, under a new leader from time to time',
		options: { crashingTasks: true, quietLeaderPeriod: QUIET_LEADER_PERIOD },
		seeds: [5000, 5008, 5010],
	},
]

for (const { name, options, seeds } of REPLACEMENTS) {
	for (const seed of seeds) {
		test(`no job is left when fresh machines replace ${name}, seed ${seed}`, () => {
			runWithReplacements(seed, options)
		})
	}
}
