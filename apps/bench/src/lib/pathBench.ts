/** The real path: a cell of real processes under load, with a leader killed in the middle. */
import { homeOf, NOTHING_IN_FORCE } from '@rillrudder/settings'
import { percentile, round, type Bar, type Measurement, type Row } from './figures'
import { sendLoad, type Answered, type Load, type LoadResult } from './LoadSource'
import { ProcessCell, type ProcessInstance } from './ProcessCell'

const DATA_CENTRES = ['isani', 'saburtalo', 'vake']
/** Mean time of a request on a worker: long enough that slots are the limit, not this machine. */
const LATENCY = 120
const QUICK = 5
const SPAN = 6000
const NORMAL = 400
const TIMEOUT = 4000
const CUSTOMERS = 300
const FIND_ATTEMPTS = 20
const WARM_UP = 3000
/** Until a replica that came back leads again, and what it had begun has ended. */
const SETTLE_FOR = 6000
const ORDERED_SHARE = 0.2

/** @returns the measurement, with its bars. */
export async function pathBench(seed: number): Promise<Measurement> {
	const rows: Row[] = []
	const bars: Bar[] = []
	await measureAddedTime(seed, rows, bars)
	await measureLoad(seed, rows, bars)
	return {
		title: 'The real path: 7 instances as 14 processes, 30 fake workers',
		seed,
		rows,
		bars,
		notes: [
			'arrivals are open-loop; times count from when a request was due',
			'callers, workers and all processes share this machine',
		],
	}
}

/** Against calling a worker directly, at a rate where nothing queues. */
async function measureAddedTime(seed: number, rows: Row[], bars: Bar[]): Promise<void> {
	const cell = new ProcessCell(QUICK, seed)
	await cell.start()
	const base = { rate: 100, span: SPAN, customers: CUSTOMERS, timeout: TIMEOUT, path: '/tally' }
	const addresses = cell.instances.map((one) => one.callers)
	await sendLoad({ ...base, span: WARM_UP, orderedShare: 0.2, addresses }, seed)
	const direct = await sendLoad({ ...base, orderedShare: 0, addresses: [cell.fleet.worker] }, seed)
	const before = cell.processorTime()
	const through = await sendLoad({ ...base, orderedShare: 0, addresses }, seed)
	const spent = cell.processorTime() - before
	const ordered = await sendLoad({ ...base, orderedShare: 1, addresses }, seed)
	await cell.stop()
	const added = percentile(through.repeatable, 50) - percentile(direct.repeatable, 50)
	rows.push(timesOf('direct to a worker', direct), timesOf('repeatable', through))
	rows.push(timesOf('not repeatable', ordered))
	rows.push({
		name: 'processor time, repeatable',
		figures: { 'us a request, idle work included': Math.round((spent * 1000) / countOf(through)) },
	})
	bars.push({ what: 'added p50 ms, repeatable', figure: added, most: 3 })
}

async function measureLoad(seed: number, rows: Row[], bars: Bar[]): Promise<void> {
	const cell = new ProcessCell(LATENCY, seed)
	await cell.start()
	const addresses = cell.instances.map((one) => one.callers)
	const load: Load = {
		rate: NORMAL,
		span: SPAN,
		orderedShare: ORDERED_SHARE,
		customers: CUSTOMERS,
		timeout: TIMEOUT,
		addresses,
		path: '/work',
	}
	const all: LoadResult[] = []
	const run = async (name: string, change: Partial<Load>): Promise<LoadResult> => {
		const before = cell.processorTime()
		const result = await sendLoad({ ...load, ...change }, seed)
		const spent = cell.processorTime() - before
		all.push(result)
		const row = timesOf(name, result)
		const cost = Math.round((spent * 1000) / countOf(result))
		rows.push({ ...row, figures: { ...row.figures, 'us of processor a request': cost } })
		return result
	}
	// Processes that have just started compile while they serve; the first figures would be theirs.
	await sendLoad({ ...load, span: WARM_UP }, seed)
	await run('normal', {})
	const capacity = await run('capacity', { rate: CAPACITY_RATE })
	const over = await run('1.5 times capacity', { rate: CAPACITY_RATE * 1.5 })
	const killed = await measureOutage(cell, load, seed + 1, all, rows, 'SIGKILL')
	await new Promise((resolve) => setTimeout(resolve, SETTLE_FOR))
	const paused = await measureOutage(cell, load, seed + 2, all, rows, 'SIGSTOP')
	await new Promise((resolve) => setTimeout(resolve, SETTLE_FOR))
	const { control, entry } = cell.memory()
	rows.push({
		name: 'memory',
		figures: { 'control MiB': Math.round(control), 'entry MiB': Math.round(entry) },
	})
	await checkTruth(cell, all, bars)
	await cell.stop()
	const kept = over.goodput / capacity.goodput
	bars.push({ what: 'goodput at 1.5 times capacity', figure: kept, least: 0.9 })
	bars.push({ what: 'outage after kill -9 of a leader, s', figure: killed / 1000, most: 3 })
	bars.push({ what: 'outage after SIGSTOP of a leader, s', figure: paused / 1000, most: 3 })
}

/** Slots that may be lent and those kept back, over the mean time of a request. */
const CAPACITY_RATE = 1500

/**
 * Kills or stops the leader of a data centre, and looks at the longest gap between answers of its
 * customers. A stopped one goes on at the end, and must start nothing.
 */
async function measureOutage(
	cell: ProcessCell,
	load: Load,
	seed: number,
	all: LoadResult[],
	rows: Row[],
	signal: 'SIGKILL' | 'SIGSTOP'
): Promise<number> {
	const leader = await findLeader(cell)
	const times: number[] = []
	let killedAt = 0
	const seen = (one: Answered): void => {
		const home = homeOf(NOTHING_IN_FORCE.configuration, DATA_CENTRES, one.customer)
		if (one.ordered && one.outcome === 'ran' && home === 'vake') times.push(one.at)
	}
	setTimeout(() => {
		killedAt = performance.now()
		leader.control.kill(signal)
	}, SPAN / 2)
	const result = await sendLoad({ ...load, rate: 300, orderedShare: 0.5 }, seed, seen)
	all.push(result)
	const after = times.filter((at) => at > killedAt).sort((a, b) => a - b)
	const before = times.filter((at) => at <= killedAt).sort((a, b) => a - b)
	const points = [before[before.length - 1] ?? killedAt, ...after]
	const outage = points.reduce(
		(longest, at, position) => Math.max(longest, at - (points[position - 1] ?? at)),
		0
	)
	const row = timesOf(`leader gets ${signal}`, result)
	rows.push({ ...row, figures: { ...row.figures, 'longest gap ms': Math.round(outage) } })
	if (signal === 'SIGSTOP') leader.control.kill('SIGCONT')
	else cell.restartControl(leader)
	return outage
}

/** Under load a status may not come in time; without a leader there is nothing to measure. */
async function findLeader(cell: ProcessCell): Promise<ProcessInstance> {
	for (let attempt = 0; attempt < FIND_ATTEMPTS; attempt++) {
		const leader = await cell.leaderOf('vake')
		if (leader) return leader
		await new Promise((resolve) => setTimeout(resolve, 500))
	}
	throw new Error('no leader of vake was found')
}

/** Everything that was told, against everything that ran. */
async function checkTruth(cell: ProcessCell, all: LoadResult[], bars: Bar[]): Promise<void> {
	const runs = await cell.runs()
	const twice = [...runs.values()].filter((count) => count > 1).length
	let untrue = 0
	for (const { answered } of all) {
		for (const { customer, key, ordered, outcome } of answered) {
			if (ordered && outcome === 'not-run' && runs.has(`${customer}/${key}`)) untrue += 1
		}
	}
	bars.push({ what: 'requests run twice', figure: twice, most: 0 })
	bars.push({ what: 'not-run answers that ran', figure: untrue, most: 0 })
}

function timesOf(name: string, result: LoadResult): Row {
	const { repeatable, ordered, goodput, counts } = result
	const figures: { [figure: string]: number | string } = {}
	if (repeatable.totalCount > 0) {
		figures['repeatable p50 ms'] = round(percentile(repeatable, 50))
		figures['p99 ms'] = round(percentile(repeatable, 99))
	}
	if (ordered.totalCount > 0) {
		figures['ordered p50 ms'] = round(percentile(ordered, 50))
		figures['ordered p99 ms'] = round(percentile(ordered, 99))
	}
	figures['goodput/s'] = Math.round(goodput)
	figures.outcomes = Object.entries(counts)
		.map(([outcome, count]) => `${outcome} ${count}`)
		.join(' ')
	return { name, figures }
}

function countOf(result: LoadResult): number {
	return Math.max(1, result.answered.length)
}
