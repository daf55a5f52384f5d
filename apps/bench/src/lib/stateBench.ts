/** What the replicated state of a data centre costs: processor time a command, memory a record, a snapshot. */
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { DataCentreState, encodeDataCentreCommand, type DataCentreCommand } from '@rillrudder/cell'
import { round, type Measurement, type Row } from './figures'

const WORKERS = 2467
const REQUESTS = 50_000
const CUSTOMERS = 700
const INTENTS = 200
const TASKS_EACH = 100
const ANSWER = 'a'.repeat(200)
const DIGEST = 'd'.repeat(44)
const HOLDER = 'vake-1/entry#00000000-0000-0000-0000-000000000000'
const SMALL = { cpu: 10, memory: 10, accelerators: 0 }

/** A state and the index of its next command. */
class Applier {
	readonly state = new DataCentreState()
	private index = 0

	apply(command: DataCentreCommand): void {
		this.state.apply(encodeDataCentreCommand(command), ++this.index)
	}
}

/** @returns the measurement. */
export function stateBench(seed: number): Measurement {
	const applier = new Applier()
	for (let number = 0; number < WORKERS; number++) applier.apply(worker(number))
	const rows: Row[] = [measureRequests(applier), measureTasks(applier), measureSnapshot(applier)]
	return {
		title: `State of a data centre with ${WORKERS} workers`,
		seed,
		rows,
		bars: [],
		notes: ['encoding, decoding and applying, as the leader does; memory after a full collection'],
	}
}

function measureRequests(applier: Applier): Row {
	const before = heap()
	const spent = timeOf(REQUESTS, (number) => {
		const customer = `customer-${number % CUSTOMERS}`
		const key = `key-${number}`
		const attempt = { attempt: 1, worker: `w${number % WORKERS}`, holder: HOLDER }
		const admission = { digest: DIGEST, holder: HOLDER, timeout: 4000, at: number }
		const answer = { status: 200, headers: [], body: ANSWER }
		applier.apply({ kind: 'admit', customer, key, ...admission })
		applier.apply({ kind: 'start', customer, key, ...attempt })
		applier.apply({ kind: 'finish', customer, key, outcome: 'ran', answer, at: number })
	})
	const whole = (heap() - before) / REQUESTS
	const forget = { answersBefore: Number.MAX_SAFE_INTEGER, keysBefore: 0, answerMemory: 64 }
	applier.apply({ kind: 'forget', ...forget })
	const keys = (heap() - before) / REQUESTS
	return {
		name: 'request: admit, start, finish',
		figures: {
			us: round(spent),
			'bytes kept': Math.round(whole),
			'bytes without its answer': Math.round(keys),
		},
	}
}

function measureTasks(applier: Applier): Row {
	for (let number = 0; number < INTENTS; number++) confirmIntent(applier, number)
	const tasks = [...applier.state.tasks.all()].map((record) => record.task.id)
	const before = heap()
	const spent = timeOf(tasks.length, (number) => {
		const reason = 'fits with the least left over'
		const place = { task: tasks[number], worker: `w${number % WORKERS}`, reserved: SMALL, reason }
		applier.apply({ kind: 'place', ...place, at: 1 })
	})
	const grown = (heap() - before) / tasks.length
	return {
		name: 'placement of a task',
		figures: {
			us: round(spent),
			'bytes more than waiting': Math.round(grown),
			tasks: tasks.length,
		},
	}
}

function measureSnapshot(applier: Applier): Row {
	let bytes = 0
	const spent = timeOf(1, () => {
		bytes = applier.state.snapshot().length
	})
	return {
		name: 'snapshot of all that',
		figures: { MB: round(bytes / 1e6), ms: round(spent / 1000) },
	}
}

function confirmIntent(applier: Applier, number: number): void {
	const id = `p${number}`
	const operator = 'bench'
	const intent = {
		kind: 'batch',
		name: `intent-${number}`,
		team: `team-${number % CUSTOMERS}`,
		tasks: TASKS_EACH,
		each: SMALL,
		urgent: false,
		checkpoints: false,
		command: ['run'],
	} as const
	const { ground } = applier.state
	const plan = { id, intent: { ...intent, command: ['run'] }, ground, steps: [], impossible: [] }
	applier.apply({ kind: 'plan', operator, request: `plan-${number}`, at: 1, ...plan })
	const confirm = { plan: id, verified: ground }
	applier.apply({ kind: 'confirm', operator, request: `confirm-${number}`, at: 1, ...confirm })
}

function worker(number: number): DataCentreCommand {
	return {
		kind: 'worker',
		id: `w${number}`,
		address: '10.0.0.1:80',
		rack: `r${number >> 3}`,
		capacity: { cpu: 30_000, memory: 60_000, accelerators: 0 },
		slots: 8,
		state: 'live',
		reason: '',
		at: 1,
	}
}

/** @returns microseconds of processor time a call. */
function timeOf(count: number, call: (number: number) => void): number {
	const begun = process.cpuUsage()
	for (let number = 0; number < count; number++) call(number)
	const used = process.cpuUsage(begun)
	return (used.user + used.system) / count
}

/** @returns bytes in use after a full collection. */
function heap(): number {
	setFlagsFromString('--expose-gc')
	const collect = runInNewContext('gc') as () => void
	collect()
	return process.memoryUsage().heapUsed
}
