/**
 * What a worker does, without a socket: runs requests in slots and tasks under leases, fails as its
 * settings say, counts what it ran, and checks that it is never given more than it has.
 */
import { invariant, type Clock, type Random, type Timer } from '@rillrudder/utils'

/** An amount of each resource: thousandths of a processor, MiB, accelerators. @public */
export interface Amount {
	readonly cpu: number
	readonly memory: number
	readonly accelerators: number
}

/** What a fake worker offers, and how it behaves. @public */
export interface WorkerSettings {
	readonly id: string
	readonly capacity: Amount
	readonly slots: number
	/** What each slot takes of the capacity. */
	readonly slotAmount: Amount
	/** Mean time of a request in milliseconds; the distribution is exponential around half of it. */
	latency: number
	/** Share of requests and tasks that fail. */
	failing: number
	/** Whether it takes what it is sent and never answers. */
	silent: boolean
	/** Whether it refuses new work. */
	leaving: boolean
}

/** A request as a worker sees it. @public */
export interface WorkRequest {
	readonly customer: string
	readonly key: string
	readonly fence: number
	readonly repeatable: boolean
	readonly body: Buffer
}

/** How a worker answers a request. @public */
export interface WorkAnswer {
	readonly status: number
	readonly body: string
	/** Set when the request was refused before it started. */
	readonly refused?: string
}

/** One execution that a worker counted. @public */
export interface Execution {
	readonly customer: string
	readonly key: string
	readonly worker: string
	readonly repeatable: boolean
	readonly at: number
}

interface RunningTask {
	readonly task: string
	readonly fence: number
	amount: Amount
	timer?: Timer
}

interface EndedTask {
	readonly task: string
	readonly fence: number
	readonly result: 'done' | 'failed' | 'stopped'
	readonly at: number
}

/** The calls that a worker takes about its tasks; see `docs/INTERFACES.md`. @public */
export interface TaskExchange {
	readonly term: number
	readonly stamp: number
	readonly leaseMs: number
	readonly start: readonly (Amount & { task: string; fence: number; command: readonly string[] })[]
	readonly stop: readonly { task: string; fence: number }[]
	readonly checkpoint: readonly { task: string; fence: number }[]
	readonly throttle: readonly { task: string; fence: number; cpu: number }[]
}

/** A worker's reply about its tasks. @public */
export interface TaskExchangeReply {
	readonly stamp: number
	readonly leaving: boolean
	readonly running: (Amount & { task: string; fence: number })[]
	readonly ended: EndedTask[]
	readonly refused: { task: string; fence: number; reason: string }[]
}

/** How long an ended task is reported. */
const ENDED_KEPT = 60_000
const USAGE_SHARE = 0.7
/** How often it looks whether its lease is over. */
const LOOK_EVERY = 100

/**
 * One fake worker.
 *
 * @public
 */
export class WorkerModel {
	/** Everything it ran, in order. */
	readonly executions: Execution[] = []
	private readonly running = new Map<string, RunningTask>()
	private ended: EndedTask[] = []
	private readonly done = new Map<string, WorkAnswer>()
	private readonly active = new Set<string>()
	private readonly fenced = new Map<string, number>()
	private readonly highest = new Map<string, number>()
	private used = 0
	private term = 0
	private leaseEnd = Number.NEGATIVE_INFINITY
	private readonly timer: Timer

	constructor(
		readonly settings: WorkerSettings,
		private readonly clock: Clock,
		private readonly random: Random
	) {
		this.timer = clock.every(LOOK_EVERY, () => this.expire())
	}

	/** Slots in use. */
	get slotsUsed(): number {
		return this.used
	}

	/** Tasks that run. */
	get tasks(): string[] {
		return [...this.running.keys()]
	}

	/** What its tasks have been given. */
	get given(): Amount {
		let sum: Amount = { cpu: 0, memory: 0, accelerators: 0 }
		for (const { amount } of this.running.values()) sum = add(sum, amount)
		return sum
	}

	/**
	 * Takes a request.
	 *
	 * @param request - the request.
	 * @param answer - called once with the answer; never by a silent worker.
	 */
	request(request: WorkRequest, answer: (answer: WorkAnswer) => void): void {
		const refused = this.whyRefused(request)
		if (refused) {
			answer({ status: 503, body: refused, refused })
			return
		}
		const { customer, key, repeatable } = request
		const at = this.clock.now()
		this.executions.push({ customer, key, worker: this.settings.id, repeatable, at })
		this.used += 1
		this.checkCapacity()
		const name = `${customer}/${key}`
		this.active.add(name)
		if (this.settings.silent) return
		const { latency } = this.settings
		const span = latency / 2 + this.random.exponential(latency / 2)
		this.clock.after(span, () => {
			this.used -= 1
			this.active.delete(name)
			const result = this.result(request)
			this.done.set(name, result)
			answer(result)
		})
	}

	/** Says how an attempt ended; one that it has not seen is refused from now on. */
	settle(customer: string, key: string, fence: number) {
		const name = `${customer}/${key}`
		const done = this.done.get(name)
		if (done) {
			const body = Buffer.from(done.body).toString('base64')
			return { state: 'ran' as const, status: done.status, headers: [], body }
		}
		if (this.active.has(name)) return { state: 'running' as const }
		this.fenced.set(name, Math.max(fence, this.fenced.get(name) ?? 0))
		return { state: 'never' as const }
	}

	/** Takes orders about tasks; undefined when they are of a leader that was replaced. */
	exchange(call: TaskExchange): TaskExchangeReply | undefined {
		if (call.term < this.term) return undefined
		this.term = call.term
		const now = this.clock.now()
		this.expire()
		if (call.stamp >= 0) this.leaseEnd = Math.max(this.leaseEnd, call.stamp + call.leaseMs)
		const refused: TaskExchangeReply['refused'] = []
		for (const order of call.stop) this.stopTask(order)
		for (const order of call.checkpoint) this.end(order, 'stopped')
		for (const order of call.throttle) this.throttle(order)
		for (const order of call.start) {
			const reason = this.start(order, now)
			if (reason) refused.push({ task: order.task, fence: order.fence, reason })
		}
		this.ended = this.ended.filter((one) => now - one.at < ENDED_KEPT)
		const running = [...this.running.values()].map(({ task, fence, amount }) => ({
			task,
			fence,
			cpu: Math.round(amount.cpu * USAGE_SHARE),
			memory: Math.round(amount.memory * USAGE_SHARE),
			accelerators: amount.accelerators,
		}))
		const { leaving } = this.settings
		return { stamp: now, leaving, running, ended: this.ended, refused }
	}

	/** Stops for good. */
	stop(): void {
		this.timer.cancel()
		this.restart()
	}

	/** Forgets everything, as a replaced instance has. */
	restart(): void {
		for (const task of this.running.values()) task.timer?.cancel()
		this.running.clear()
		this.ended = []
		this.leaseEnd = Number.NEGATIVE_INFINITY
	}

	private whyRefused(request: WorkRequest): string | undefined {
		if (this.settings.leaving) return 'leaving'
		if (this.used >= this.settings.slots) return 'full'
		const fence = this.fenced.get(`${request.customer}/${request.key}`)
		if (fence !== undefined && request.fence <= fence) return 'fenced'
		return undefined
	}

	private result(request: WorkRequest): WorkAnswer {
		if (this.random.chance(this.settings.failing)) return { status: 500, body: 'failed' }
		const body = JSON.stringify({
			worker: this.settings.id,
			customer: request.customer,
			key: request.key,
			echo: request.body.toString(),
		})
		return { status: 200, body }
	}

	private start(order: TaskExchange['start'][number], now: number): string | undefined {
		const known = this.running.get(order.task)
		if (known && known.fence >= order.fence) return undefined
		if ((this.highest.get(order.task) ?? 0) >= order.fence) return undefined
		if (now >= this.leaseEnd) return 'the lease is over'
		if (this.settings.leaving) return 'leaving'
		const { task, fence, cpu, memory, accelerators } = order
		this.highest.set(task, fence)
		const entry: RunningTask = { task, fence, amount: { cpu, memory, accelerators } }
		this.running.set(task, entry)
		this.checkCapacity()
		const span = runTimeOf(order.command)
		const fails = this.random.chance(this.settings.failing)
		if (span !== undefined || fails) {
			const result = fails ? 'failed' : 'done'
			entry.timer = this.clock.after(span ?? 1, () => this.end(entry, result))
		}
		return undefined
	}

	private throttle(order: { task: string; fence: number; cpu: number }): void {
		const entry = this.running.get(order.task)
		if (entry?.fence === order.fence) entry.amount = { ...entry.amount, cpu: order.cpu }
	}

	/** A stop of what has not started makes sure that it never does. */
	private stopTask(order: { task: string; fence: number }): void {
		if (this.running.get(order.task)?.fence === order.fence) {
			this.end(order, 'stopped')
			return
		}
		const { task, fence } = order
		if ((this.highest.get(task) ?? 0) >= fence) return
		this.highest.set(task, fence)
		this.ended.push({ task, fence, result: 'stopped', at: this.clock.now() })
	}

	private end(order: { task: string; fence: number }, result: EndedTask['result']): void {
		const entry = this.running.get(order.task)
		if (entry?.fence !== order.fence) return
		entry.timer?.cancel()
		this.running.delete(order.task)
		const { task, fence } = order
		this.ended.push({ task, fence, result, at: this.clock.now() })
	}

	/** A worker stops what it holds when its lease runs out. */
	private expire(): void {
		if (this.clock.now() < this.leaseEnd) return
		for (const entry of [...this.running.values()]) this.end(entry, 'stopped')
	}

	private checkCapacity(): void {
		const { capacity, slots, slotAmount, id } = this.settings
		const forSlots = scale(slotAmount, slots)
		const sum = add(this.given, forSlots)
		const within =
			sum.cpu <= capacity.cpu &&
			sum.memory <= capacity.memory &&
			sum.accelerators <= capacity.accelerators
		invariant(within && this.used <= slots, 'no worker is given more than it has', {
			id,
			given: this.given,
			used: this.used,
		})
	}
}

/** `["sleep", "1500"]` ends by itself after 1500 ms; anything else runs until it is stopped. */
function runTimeOf(command: readonly string[]): number | undefined {
	return command[0] === 'sleep' ? Number(command[1]) : undefined
}

function add(left: Amount, right: Amount): Amount {
	return {
		cpu: left.cpu + right.cpu,
		memory: left.memory + right.memory,
		accelerators: left.accelerators + right.accelerators,
	}
}

function scale(amount: Amount, by: number): Amount {
	return {
		cpu: amount.cpu * by,
		memory: amount.memory * by,
		accelerators: amount.accelerators * by,
	}
}
