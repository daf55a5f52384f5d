/** The callers of a run: they send, send again, and hold the system to what it tells them. */
import type { Execution } from '@rillrudder/fakes'
import { invariant } from '@rillrudder/utils'
import type { CellRun, RunInstance } from './CellRun'
import type { RunCall, RunReply } from './RunEntry'

const CUSTOMERS = ['batumi', 'kutaisi', 'telavi', 'agents', 'bank', 'kiosks']
const REPEATABLE_SHARE = 0.4
const CALLERS_KEY_SHARE = 0.8
const TWICE_SHARE = 0.1
const MOST_SENDINGS = 3
const SHORT_TIMEOUT_SHARE = 0.1
const SHORT_TIMEOUT = 30
const TIMEOUT = 4000
const CONNECTION_LOST = 10
/** The balancer sends to an instance for so long after it began to stop. */
const BALANCER_LAG = 200
/** A caller waits a little longer than the time it gave the system. */
const PATIENCE = 3000

/** What callers did and were told. @public */
export interface CallerTally {
	sent: number
	ran: number
	notRun: number
	unknown: number
	noAnswer: number
}

interface Sent {
	readonly call: RunCall
	readonly replies: RunReply[]
}

/** A caller's connection to one life of an entry process. */
interface Connection {
	readonly one: RunInstance
	readonly life: number
	over: boolean
}

/**
 * The callers of a run.
 *
 * @internal
 */
export class RunCallers {
	readonly tally: CallerTally = { sent: 0, ran: 0, notRun: 0, unknown: 0, noAnswer: 0 }
	private readonly sent = new Map<string, Sent>()
	private active = false
	private begun = false

	constructor(
		private readonly run: CellRun,
		private readonly rate: number
	) {}

	start(): void {
		this.active = true
		if (this.begun) return
		this.begun = true
		this.next()
	}

	stop(): void {
		this.active = false
	}

	/** Many requests at once, as when a queue of kiosks comes back. */
	burst(count: number): void {
		for (let left = count; left > 0; left--) this.sendNew()
	}

	/** Checks everything that was told against everything that ran. */
	check(executions: readonly Execution[]): void {
		const runs = new Map<string, number>()
		for (const { customer, key, repeatable } of executions) {
			const name = `${customer}/${key}`
			if (!repeatable) runs.set(name, (runs.get(name) ?? 0) + 1)
		}
		for (const [name, count] of runs) {
			invariant(count <= 1, 'a request that is not repeatable runs at most once', { name, count })
		}
		for (const [name, { call, replies }] of this.sent) {
			if (!call.repeatable) this.checkReplies(name, runs.get(name) ?? 0, replies)
		}
	}

	private checkReplies(name: string, count: number, replies: readonly RunReply[]): void {
		const told = (outcome: RunReply['outcome']) => replies.some((one) => one.outcome === outcome)
		const reused = replies.some((one) => one.problem === 'key-reused')
		if (told('not-run') && !reused) {
			invariant(count === 0, 'when it is said that it was not run, it was not run', { name })
		}
		if (told('ran')) invariant(count === 1, 'what is said to have run has run', { name, count })
		const bodies = new Set(replies.flatMap((one) => one.body ?? []))
		invariant(bodies.size <= 1, 'the same key gets the same answer', { name })
	}

	private next(): void {
		const { random, clock } = this.run
		clock.after(random.exponential(1000 / this.rate), () => {
			if (this.active) this.sendNew()
			this.next()
		})
	}

	private sendNew(): void {
		const { random } = this.run
		const number = this.sent.size + 1
		const customer = random.pick(CUSTOMERS)
		const call: RunCall = {
			customer,
			key: `k${number}`,
			callersKey: random.chance(CALLERS_KEY_SHARE),
			repeatable: random.chance(REPEATABLE_SHARE),
			timeout: random.chance(SHORT_TIMEOUT_SHARE) ? SHORT_TIMEOUT : TIMEOUT,
			body: `body ${number}`,
		}
		const sent = { call, replies: [] }
		this.sent.set(`${customer}/${call.key}`, sent)
		this.send(sent, MOST_SENDINGS)
		if (call.callersKey && random.chance(TWICE_SHARE)) this.send(sent, 1)
	}

	/** Sends to an instance that the balancer holds for alive. */
	private send(sent: Sent, sendings: number): void {
		const { random, instances, clock, network } = this.run
		this.tally.sent += 1
		const listed = instances.filter((each) => this.isListed(each))
		const one = random.pick(listed.length > 0 ? listed : instances)
		const { life } = one.entryProcess
		const connection: Connection = { one, life, over: false }
		const told = (reply: RunReply): void => {
			if (connection.over) return
			connection.over = true
			this.take(sent, reply, sendings)
		}
		this.watch(connection, told)
		clock.after(sent.call.timeout + PATIENCE, () => told({ outcome: 'no-answer' }))
		clock.after(network.delay(), () => {
			if (!isUp(connection)) return
			one.entry.take(sent.call, (reply) => clock.after(network.delay(), () => told(reply)))
		})
	}

	/** The balancer has learned of instances that are stopping. */
	private isListed(one: RunInstance): boolean {
		const { leavingSince } = one
		return leavingSince === undefined || this.run.clock.now() - leavingSince < BALANCER_LAG
	}

	/** The connection ends when the process does; one that stops as planned has answered before. */
	private watch(connection: Connection, told: (reply: RunReply) => void): void {
		const { clock } = this.run
		clock.after(CONNECTION_LOST, () => {
			if (connection.over) return
			if (isUp(connection)) this.watch(connection, told)
			// What was sent before the end may still be on its way.
			else clock.after(CONNECTION_LOST, () => this.lose(connection, told))
		})
	}

	private lose(connection: Connection, told: (reply: RunReply) => void): void {
		const { one, life, over } = connection
		invariant(over || one.stoppedLife !== life, 'a planned stop cuts off no request in flight', {
			instance: one.instance.id,
		})
		told({ outcome: 'no-answer' })
	}

	private take(sent: Sent, reply: RunReply, sendings: number): void {
		sent.replies.push(reply)
		this.count(reply)
		if (reply.outcome === 'ran') this.checkBody(sent.call, reply)
		const again = reply.outcome === 'no-answer' || reply.outcome === 'unknown'
		if (again && sent.call.callersKey && sendings > 1) {
			this.run.clock.after(500, () => this.send(sent, sendings - 1))
		}
	}

	/** The answer is whole, and to this very request. */
	private checkBody(call: RunCall, reply: RunReply): void {
		if (reply.body === 'failed') return
		const { customer, key, echo } = JSON.parse(reply.body ?? '{}')
		const own = customer === call.customer && key === call.key && echo === call.body
		invariant(own, 'a caller gets the whole answer to its own request', {
			key: call.key,
			body: reply.body,
		})
	}

	private count(reply: RunReply): void {
		switch (reply.outcome) {
			case 'ran':
				this.tally.ran += 1
				return
			case 'not-run':
				this.tally.notRun += 1
				return
			case 'unknown':
				this.tally.unknown += 1
				return
			case 'no-answer':
				this.tally.noAnswer += 1
				return
		}
	}
}

function isUp(connection: Connection): boolean {
	const { one, life } = connection
	return one.entryProcess.alive && one.entryProcess.life === life
}
