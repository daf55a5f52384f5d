/** An entry process of a run: the real intake, with callers and links that are simulated. */
import { createHash } from 'node:crypto'
import type { Outcome, Problem } from '@rillrudder/cell'
import { CallerRequest, Intake, type AttemptOptions } from '@rillrudder/intake'
import type { Answer, Event } from '@rillrudder/protocol'
import type { Instance } from '@rillrudder/settings'
import { Log, Metrics } from '@rillrudder/telemetry'
import { Random } from '@rillrudder/utils'
import type { EndToEndHeader } from '@rillrudder/web'
import { RunClock, type RunProcess } from './RunProcess'
import type { Receiver, RunNetwork } from './RunNetwork'
import type { RunWorkers } from './RunWorkers'

/** What a caller sends. @internal */
export interface RunCall {
	readonly customer: string
	readonly key: string
	readonly callersKey: boolean
	readonly repeatable: boolean
	readonly timeout: number
	readonly body: string
}

/** What a caller is told; absent fields were not told. @internal */
export interface RunReply {
	readonly outcome: Outcome | 'no-answer'
	readonly problem?: Problem
	readonly body?: string
}

/** A caller's request in a run. */
class RunRequest extends CallerRequest {
	readonly customer: string
	readonly key: string
	readonly callersKey: boolean
	readonly repeatable: boolean
	readonly timeout: number
	readonly method = 'POST'
	readonly path = '/work'
	readonly body: Buffer
	readonly digest: string
	readonly deadline: number
	private answered = false

	constructor(
		call: RunCall,
		readonly arrivedAt: number,
		private readonly told: (reply: RunReply) => void
	) {
		super()
		this.customer = call.customer
		this.key = call.key
		this.callersKey = call.callersKey
		this.repeatable = call.repeatable
		this.timeout = call.timeout
		this.body = Buffer.from(call.body)
		this.digest = call.repeatable ? '' : createHash('sha256').update(call.body).digest('base64')
		this.deadline = arrivedAt + call.timeout
	}

	override get isAnswered(): boolean {
		return this.answered
	}

	override onDisconnect(): void {
		// Callers of a run wait for their answer.
	}

	override headersFor(terms: AttemptOptions): EndToEndHeader[] {
		return [
			{ name: 'rillrudder-customer', value: this.customer },
			{ name: 'idempotency-key', value: this.key },
			{ name: 'rillrudder-repeatable', value: String(this.repeatable) },
			{ name: 'rillrudder-fence', value: String(terms.fence) },
		]
	}

	override answer(answer: Answer): void {
		this.tell({ outcome: 'ran', body: answer.body.toString() })
	}

	override refuse(outcome: Outcome, problem: Problem): void {
		this.tell({ outcome, problem })
	}

	private tell(reply: RunReply): void {
		if (this.answered) return
		this.answered = true
		this.told(reply)
	}
}

/** What an entry process works with. @internal */
export interface RunEntryParts {
	readonly process: RunProcess
	readonly self: Instance
	readonly instances: readonly Instance[]
	readonly network: RunNetwork
	readonly workers: RunWorkers
	readonly random: Random
	/** Told of every revision that is shown. */
	readonly shown: (revision: number) => void
}

/**
 * An entry process of a run.
 *
 * @internal
 */
export class RunEntry implements Receiver {
	readonly process: RunProcess
	private readonly clock: RunClock
	private readonly intake: Intake
	private inFlight = 0

	constructor(private readonly parts: RunEntryParts) {
		const { process, self, instances, network, workers, random } = parts
		this.process = process
		this.clock = new RunClock(process)
		this.intake = new Intake({
			self,
			instances,
			incarnation: `${process.id}.${process.life}`,
			clock: this.clock,
			random: new Random(random.integer(1, 1_000_000_000)),
			log: new Log(process.id, this.clock, 'silent'),
			metrics: new Metrics(process.id),
			workers: workers.callsOf(process),
			send: (to, event) => network.send(process, to, event),
		})
	}

	/** The configuration revision in force here. */
	get revision(): number {
		return this.intake.revision
	}

	/** Whether every request has its answer. */
	get idle(): boolean {
		return this.inFlight === 0 && this.intake.openCount === 0
	}

	/** Takes a call. */
	take(call: RunCall, told: (reply: RunReply) => void): void {
		const { life } = this.process
		this.process.act(life, () => {
			this.inFlight += 1
			const request = new RunRequest(call, this.clock.now(), (reply) => {
				this.inFlight -= 1
				told(reply)
			})
			this.intake.handleRequest(request)
		})
	}

	/** Begins a planned stop. */
	leave(): void {
		this.intake.leave()
	}

	receive(from: string, event: Event): void {
		const before = this.intake.revision
		this.intake.receive(from, event)
		if (this.intake.revision !== before) this.parts.shown(this.intake.revision)
	}

	peerChanged(peer: string, connected: boolean): void {
		this.intake.peerChanged(peer, connected)
	}
}
