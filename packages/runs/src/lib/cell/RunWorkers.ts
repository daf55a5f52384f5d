/** The workers of a run, reached over a network that can be slow or cut. */
import {
	exchangeReplySchema,
	settleReplySchema,
	type ExchangeReply,
	type ListedWorker,
	type SettleCall,
	type SettleReply,
	type WorkerExchange,
} from '@rillrudder/cell'
import { WorkerModel, type Execution, type WorkAnswer } from '@rillrudder/fakes'
import {
	Attempt,
	CallOutcome,
	WorkerCalls,
	type AttemptResult,
	type WorkerCall,
} from '@rillrudder/intake'
import { Random, type ManualClock } from '@rillrudder/utils'
import type { RunNetwork } from './RunNetwork'
import type { RunProcess } from './RunProcess'

const EXCHANGE_TIMEOUT = 2000
const RACK_SIZE = 4
const CAPACITY = { cpu: 8000, memory: 16 * 1024, accelerators: 2 }
const SLOT = { cpu: 250, memory: 256, accelerators: 0 }
const SLOTS = 8
const MEAN_LATENCY = 20

/** A worker and whether it can be reached. @internal */
export interface RunWorker {
	readonly model: WorkerModel
	readonly dataCentre: string
	readonly listed: ListedWorker
	/** An instance that has failed: nothing comes in or out. */
	down: boolean
	/** When it began to leave; absent when it does not. */
	leftAt?: number
}

/**
 * The workers of a run.
 *
 * @internal
 */
export class RunWorkers {
	readonly all: RunWorker[] = []

	constructor(
		private readonly clock: ManualClock,
		private readonly network: RunNetwork,
		private readonly random: Random,
		/** Told of every offer of new work to a worker that is leaving. */
		private readonly offered: (process: RunProcess, worker: RunWorker) => void
	) {}

	/** Adds workers to a data centre. */
	add(dataCentre: string, count: number): void {
		for (let number = 1; number <= count; number++) {
			const id = `${dataCentre}-w${number}`
			const settings = {
				id,
				capacity: CAPACITY,
				slots: SLOTS,
				slotAmount: SLOT,
				latency: MEAN_LATENCY,
				failing: 0,
				silent: false,
				leaving: false,
			}
			const seed = this.random.integer(1, 1_000_000_000)
			const model = new WorkerModel(settings, this.clock, new Random(seed))
			const rack = `${dataCentre}-r${Math.ceil(number / RACK_SIZE)}`
			const listed = {
				id,
				address: id,
				dataCentre,
				rack,
				state: 'live',
				capacity: CAPACITY,
			} as const
			this.all.push({ model, dataCentre, listed, down: false })
		}
	}

	/** The platform's list as it is now. */
	list(): ListedWorker[] {
		return this.all.map((worker) => ({
			...worker.listed,
			state: worker.leftAt === undefined ? 'live' : 'leaving',
		}))
	}

	/** Everything that ran, over all workers. */
	executions(): Execution[] {
		return this.all.flatMap((worker) => worker.model.executions)
	}

	/** An exchange about tasks. */
	exchange(
		from: RunProcess,
		exchange: WorkerExchange,
		took: (reply: ExchangeReply | undefined) => void
	): void {
		this.ask(from, exchange.address, took, (worker) => {
			const { leftAt } = worker
			if (leftAt !== undefined && exchange.call.start.length > 0) this.offered(from, worker)
			const reply = worker.model.exchange(structuredClone(exchange.call))
			return reply && exchangeReplySchema.parse(structuredClone(reply))
		})
	}

	/** A question about an attempt. */
	settle(from: RunProcess, call: SettleCall, took: (reply: SettleReply) => void): void {
		const { customer, key, fence } = call
		this.ask(
			from,
			call.address,
			(reply: SettleReply | undefined) => reply && took(reply),
			(worker) => settleReplySchema.parse(worker.model.settle(customer, key, fence))
		)
	}

	/** @returns the client of one life of an entry process. */
	callsOf(process: RunProcess): WorkerCalls {
		return new RunCalls(process, this, this.clock)
	}

	/** A worker by its address, which is its name. */
	find(address: string): RunWorker | undefined {
		return this.all.find((worker) => worker.listed.id === address)
	}

	/** Whether a process and a worker can't reach each other now. */
	isApart(process: RunProcess, worker: RunWorker): boolean {
		if (worker.down) return true
		const there = worker.dataCentre
		return this.network.isCut(process.id, there) || this.network.isCut(there, process.id)
	}

	/** @returns a delay on the way to or from a worker. */
	delay(): number {
		return this.network.delay()
	}

	/** A request comes to a worker. */
	take(
		from: RunProcess,
		worker: RunWorker,
		call: WorkerCall,
		answer: (answer: WorkAnswer) => void
	): void {
		if (worker.leftAt !== undefined) this.offered(from, worker)
		const header = (name: string) => call.headers.find((one) => one.name === name)?.value ?? ''
		const request = {
			customer: header('rillrudder-customer'),
			key: header('idempotency-key'),
			fence: Number(header('rillrudder-fence')),
			repeatable: header('rillrudder-repeatable') === 'true',
			body: call.body,
		}
		worker.model.request(request, answer)
	}

	private ask<Reply>(
		from: RunProcess,
		address: string,
		took: (reply: Reply | undefined) => void,
		answer: (worker: RunWorker) => Reply | undefined
	): void {
		const { life } = from
		let done = false
		const finish = (reply: Reply | undefined): void => {
			if (done) return
			done = true
			from.act(life, () => took(reply))
		}
		this.clock.after(EXCHANGE_TIMEOUT, () => finish(undefined))
		const worker = this.find(address)
		if (!worker || this.isApart(from, worker)) return
		this.clock.after(this.delay(), () => {
			if (this.isApart(from, worker) || worker.model.settings.silent) return
			const reply = answer(worker)
			this.clock.after(this.delay(), () => {
				if (!this.isApart(from, worker)) finish(reply)
			})
		})
	}
}

/** Calls to workers from one life of an entry process. */
class RunCalls extends WorkerCalls {
	private readonly life: number

	constructor(
		private readonly process: RunProcess,
		private readonly workers: RunWorkers,
		private readonly clock: ManualClock
	) {
		super()
		this.life = process.life
	}

	override call(call: WorkerCall, ended: (result: AttemptResult) => void): Attempt {
		const attempt = new RunAttempt((result) => {
			this.process.act(this.life, () => ended(result))
		})
		this.clock.after(call.timeout, () => attempt.finish({ end: CallOutcome.Lost, refusal: '' }))
		const worker = this.workers.find(call.address)
		if (!worker || worker.down) {
			this.clock.after(1, () => attempt.finish({ end: CallOutcome.NotStarted, refusal: '' }))
			return attempt
		}
		if (this.workers.isApart(this.process, worker)) return attempt
		this.clock.after(this.workers.delay(), () => this.arrive(attempt, worker, call))
		return attempt
	}

	private arrive(attempt: RunAttempt, worker: RunWorker, call: WorkerCall): void {
		if (worker.down) return
		this.workers.take(this.process, worker, call, (answer) => {
			this.clock.after(this.workers.delay(), () => {
				if (!this.workers.isApart(this.process, worker)) attempt.finish(resultOf(answer))
			})
		})
	}
}

class RunAttempt extends Attempt {
	private over = false

	constructor(private readonly ended: (result: AttemptResult) => void) {
		super()
	}

	override abandon(): void {
		this.finish({ end: CallOutcome.Lost, refusal: '' })
	}

	finish(result: AttemptResult): void {
		if (this.over) return
		this.over = true
		this.ended(result)
	}
}

function resultOf(answer: WorkAnswer): AttemptResult {
	if (answer.refused) return { end: CallOutcome.NotStarted, refusal: answer.refused }
	const body = Buffer.from(answer.body)
	return {
		end: CallOutcome.Answered,
		answer: { status: answer.status, headers: [], body },
		refusal: '',
	}
}
