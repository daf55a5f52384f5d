/** What a placement decision costs, from an empty data centre to one that is 98% full. */
import { Ledger, Placement, type Task } from '@rillrudder/scheduler'
import { IntentKind } from '@rillrudder/settings'
import { Random } from '@rillrudder/utils'
import { histogram, percentile, record, round, type Measurement, type Row } from './figures'

const SIZES = [30, 300, 2500, 37_000]
const FULL = 0.98
const TEAMS = 710
const RACK = 8
const ACCELERATORS_EVERY = 8
/** Decisions in a row that start nothing, after which the data centre counts as full. */
const GIVE_UP = 400
const SMALL = { cpu: 14_000, memory: 28 * 1024 }
const LARGE = { cpu: 30_000, memory: 60 * 1024 }

interface Run {
	readonly decisionsPerSecond: number
	readonly p50: number
	readonly p99: number
	readonly worst: number
	readonly row: Row
}

/** @returns the measurement, with the bars of 2,500 and of 37,000 workers. */
export function placementBench(seed: number): Measurement {
	const runs = new Map(SIZES.map((size) => [size, measure(size, seed)]))
	const at = (size: number) => runs.get(size) as Run
	const growth = at(37_000).p50 / at(300).p50
	return {
		title: 'Placement: one task at a time, mixed kinds, from empty to 98% full',
		seed,
		rows: [...runs.values()].map((run) => run.row),
		bars: [
			{ what: 'decisions/s at 2,500', figure: at(2500).decisionsPerSecond, least: 10_000 },
			{ what: 'p99 ms at 2,500', figure: at(2500).p99 / 1000, most: 2 },
			{ what: 'decisions/s at 37,000', figure: at(37_000).decisionsPerSecond, least: 5000 },
			{ what: 'p99 ms at 37,000', figure: at(37_000).p99 / 1000, most: 5 },
			{ what: 'growth of p50, 300 to 37,000', figure: growth, most: 3 },
		],
		notes: [],
	}
}

function measure(size: number, seed: number): Run {
	const random = new Random(seed)
	const ledger = new Ledger(random)
	const placement = new Placement(ledger, random)
	for (let number = 0; number < size; number++) join(ledger, number)
	const times = histogram()
	const heap = process.memoryUsage().heapUsed
	const total = ledger.total.cpu
	let used = 0
	let started = 0
	let idle = 0
	let spent = 0
	for (let number = 0; used < total * FULL && idle < GIVE_UP; number++) {
		placement.submit([makeTask(random, number, size)])
		const begun = process.hrtime.bigint()
		const decisions = placement.decide(number, 8)
		const span = Number(process.hrtime.bigint() - begun) / 1000
		record(times, span)
		spent += span
		idle = decisions.length === 0 ? idle + 1 : 0
		started += decisions.length
		for (const { task } of decisions) used += task.need.cpu
	}
	const decisionsPerSecond = (times.totalCount / spent) * 1e6
	const bytes = (process.memoryUsage().heapUsed - heap) / Math.max(1, started)
	const [p50, p99, worst] = [50, 99, 100].map((percent) => percentile(times, percent))
	const figures = {
		'decisions/s': Math.round(decisionsPerSecond),
		'p50 us': round(p50),
		'p99 us': round(p99),
		'max us': round(worst),
		'bytes a running task': Math.max(0, Math.round(bytes)),
		'processors packed': `${round((used / total) * 100)}%`,
		started,
	}
	return { decisionsPerSecond, p50, p99, worst, row: { name: `${size} workers`, figures } }
}

function join(ledger: Ledger, number: number): void {
	const accelerators = number % ACCELERATORS_EVERY === 0 ? 8 : 0
	const capacity = { ...(number % 2 === 0 ? SMALL : LARGE), accelerators }
	const rack = `r${Math.floor(number / RACK)}`
	ledger.join({ id: `w${number}`, rack, capacity, slots: 8 })
}

function makeTask(random: Random, number: number, size: number): Task {
	const service = random.chance(0.2)
	return {
		id: `t${number}`,
		intent: `i${number % 500}`,
		team: `team-${random.integer(0, Math.min(TEAMS, size) - 1)}`,
		kind: service ? IntentKind.Service : IntentKind.Batch,
		need: {
			cpu: random.pick([250, 500, 1000, 2000, 4000]),
			memory: random.pick([256, 512, 1024, 2048, 8192]),
			accelerators: random.chance(0.01) ? 1 : 0,
		},
		urgent: false,
		runTime: 60_000,
		submitted: number,
		checkpoints: false,
		gangSize: 1,
	}
}
