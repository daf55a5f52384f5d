/** `npm run soak`: long seeded runs of groups and of whole cells; every failure prints its seed. */
import { ExitCode, runCommand } from '@rillrudder/program'
import { ALL_FAULTS, CellRun, GroupRun, JobRun, type JobRunOptions } from '@rillrudder/runs'
import { command, flag, number, option } from 'cmd-ts'

const STEPS_A_GROUP_RUN = 6000
/** Milliseconds of a run's own time before it settles. */
const RUN_SPAN = 20_000
/** Requests, and jobs, a second of a run. */
const REQUEST_RATE = 40
const JOB_RATE = 4
const FAULT_RATES = [0.5, 1.5, 4]
/** Share of workers' answers that take long, and of crashed workers that keep their names, in runs with these. */
const SLOW_ANSWERS = 0.2
const RESTARTED_SHARE = 0.3
/** Share of the runs of jobs that take their seeds from those with losses. */
const LOSSES_SHARE = 1 / 3
/** First seed of runs with machines that never come back and with leaders lost after the traffic. */
const FIRST_SEED_WITH_LOSSES = 100_000
const GONE_SHARE = 0.3
const QUIET_LEADER_PERIOD = 20_000
const GROUP_FAULT_RATES = [0.005, 0.01, 0.02, 0.04]
const voter = (id: string, durable: boolean, local: boolean) => ({ id, durable, local })
const LAYOUTS = [
	[voter('a', true, true), voter('b', false, true), voter('c', true, false)],
	[voter('a', false, true), voter('b', true, true), voter('c', true, false)],
	[voter('a', true, true), voter('b', true, true), voter('c', true, true)],
	['a', 'b', 'c', 'd', 'e'].map((id) => voter(id, true, true)),
]

interface Soaked {
	steps: number
	elections: number
	runs: number
	failed: number
	readonly faults: { [fault: string]: number }
}

function add(total: { [name: string]: number }, more: { [name: string]: number }): void {
	for (const [name, count] of Object.entries(more)) total[name] = (total[name] ?? 0) + count
}

function soakGroups(seed: number, steps: number): Soaked {
	const soaked: Soaked = { steps: 0, elections: 0, runs: 0, failed: 0, faults: {} }
	for (let at = seed; soaked.steps < steps; at++) {
		const founders = LAYOUTS[at % LAYOUTS.length]
		const faultRate = GROUP_FAULT_RATES[(at >> 2) % GROUP_FAULT_RATES.length]
		// Every other run of a layout that has only disks lets instances join and leave.
		const open = founders.every((one) => one.durable) && (at >> 4) % 2 === 1
		const suspensions = (at >> 5) % 2 === 1
		const run = new GroupRun({ seed: at, founders, faultRate, open, suspensions })
		soaked.runs += 1
		try {
			run.steps(STEPS_A_GROUP_RUN)
			run.settle()
		} catch (fault) {
			soaked.failed += 1
			process.stdout.write(`group run with seed ${at} failed: ${(fault as Error).message}\n`)
		}
		soaked.steps += run.tally.steps
		soaked.elections += run.tally.elections
		add(soaked.faults, run.tally.faults)
	}
	return soaked
}

/** A run of a whole cell or of its jobs, as far as soaking goes. */
interface Soakable {
	run(span: number): void
	settle(): void
	readonly tally: { readonly faults: { readonly [fault: string]: number } }
}

/** Runs one seed after the other; `done` tells how much a run has done. */
function soakRuns<Run extends Soakable>(
	kind: string,
	seeds: { readonly first: number; readonly count: number },
	make: (seed: number, faultRate: number) => Run,
	done: (run: Run) => number
): Soaked {
	const soaked: Soaked = { steps: 0, elections: 0, runs: 0, failed: 0, faults: {} }
	for (let at = seeds.first; at < seeds.first + seeds.count; at++) {
		const run = make(at, FAULT_RATES[at % FAULT_RATES.length])
		soaked.runs += 1
		try {
			run.run(RUN_SPAN)
			run.settle()
		} catch (fault) {
			soaked.failed += 1
			process.stdout.write(`${kind} run with seed ${at} failed: ${(fault as Error).message}\n`)
		}
		soaked.steps += done(run)
		add(soaked.faults, run.tally.faults)
	}
	return soaked
}

function soakCells(first: number, count: number): Soaked {
	const make = (seed: number, faultRate: number): CellRun =>
		new CellRun({ seed, faultRate, requestRate: REQUEST_RATE })
	return soakRuns('cell', { first, count }, make, (run) => run.tally.callers.sent)
}

/** Runs of seeds below the first one keep the courses that earlier soaks recorded. */
function lossesOf(seed: number): Pick<JobRunOptions, 'goneShare' | 'quietLeaderPeriod'> {
	if (seed < FIRST_SEED_WITH_LOSSES) return {}
	return {
		goneShare: GONE_SHARE,
		quietLeaderPeriod: seed % 32 >= 16 ? QUIET_LEADER_PERIOD : undefined,
	}
}

function soakJobs(first: number, count: number): Soaked {
	const make = (seed: number, faultRate: number): JobRun =>
		new JobRun({
			seed,
			faultRate,
			jobRate: JOB_RATE,
			accounts: seed % 2 === 0,
			// Runs of all mixes: accounts, tasks that crash their workers, waves of crashes and room that shrinks.
			crashingTasks: seed % 4 >= 2,
			faults: seed % 8 >= 4 ? ALL_FAULTS : undefined,
			// Answers that come late, also after their workers have ended; some of these start again under their names.
			slowAnswers: seed % 16 >= 8 ? SLOW_ANSWERS : undefined,
			restartedShare: seed % 16 >= 12 ? RESTARTED_SHARE : undefined,
			...lossesOf(seed),
		})
	const starts = (run: JobRun): number => run.tally.starts
	const withLosses = first < FIRST_SEED_WITH_LOSSES ? Math.floor(count * LOSSES_SHARE) : 0
	const total = soakRuns('job', { first, count: count - withLosses }, make, starts)
	const seeds = { first: first + FIRST_SEED_WITH_LOSSES, count: withLosses }
	const more = soakRuns('job', seeds, make, starts)
	total.steps += more.steps
	total.runs += more.runs
	total.failed += more.failed
	add(total.faults, more.faults)
	return total
}

const soak = command({
	name: 'soak',
	version: '0.1.0',
	description: 'Long seeded runs under faults',
	args: {
		seed: option({ type: number, long: 'seed', defaultValue: () => 1 }),
		steps: option({
			type: number,
			long: 'steps',
			defaultValue: () => 1_000_000,
			description: 'steps of 10 ms of group runs',
		}),
		cells: option({
			type: number,
			long: 'cells',
			defaultValue: () => 20,
			description: 'cell runs',
		}),
		jobs: option({
			type: number,
			long: 'jobs',
			defaultValue: () => 100,
			description: 'runs of jobs',
		}),
		json: flag({ long: 'json' }),
	},
	handler: ({ seed, steps, cells, jobs, json }) => {
		const groups = soakGroups(seed, steps)
		const whole = soakCells(seed, cells)
		const ofJobs = soakJobs(seed, jobs)
		if (json) process.stdout.write(`${JSON.stringify({ groups, cells: whole, jobs: ofJobs })}\n`)
		else {
			process.stdout.write(
				`groups: ${groups.steps} steps in ${groups.runs} runs, ${groups.elections} elections, ${groups.failed} failed\n`
			)
			process.stdout.write(`  faults: ${JSON.stringify(groups.faults)}\n`)
			process.stdout.write(
				`cells: ${whole.runs} runs, ${whole.steps} requests sent, ${whole.failed} failed\n`
			)
			process.stdout.write(`  faults: ${JSON.stringify(whole.faults)}\n`)
			process.stdout.write(
				`jobs: ${ofJobs.runs} runs, ${ofJobs.steps} starts, ${ofJobs.failed} failed\n`
			)
			process.stdout.write(`  faults: ${JSON.stringify(ofJobs.faults)}\n`)
		}
		return groups.failed + whole.failed + ofJobs.failed === 0 ? ExitCode.Done : ExitCode.Failed
	},
})

void runCommand(soak, process.argv.slice(2))
