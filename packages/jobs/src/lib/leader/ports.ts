/** What the controller asks of the world: orders to workers, advice, and the replicated log. */
import type { CellCommand } from '../commands/CellCommand'
import type { Worker } from '../records/Cell'
import type { RunEnd } from '../records/Job'
import { PLAIN_STANDING, type AdviserStanding } from './advice/AdviserStanding'

/** Polls that need a new connection which one instance sends in a tick; each takes about 1 ms of it. */
const MAX_PROBES_PER_TICK = 20

/** The worker that an order is for. @public */
export type OrderTarget = Pick<Worker, 'id' | 'address' | 'dataCentre'>

/** Starts one run of a task. @public */
export interface StartOrder {
	/** The task's name as text. */
	readonly task: string
	readonly attempt: number
	readonly spec: string
	/** Until when the worker may keep what it runs, on its own clock. */
	readonly leaseUntil: number
	/** Term of the leader that orders; a worker obeys no lower one after a higher one. */
	readonly fence: number
	/** Where to go on from; empty for the beginning. */
	readonly checkpoint: string
	/** Shows that the queue's policy lets this worker run the step; empty where none is wanted. */
	readonly ticket: string
}

/** Stops one run of a task. @public */
export interface StopOrder {
	readonly task: string
	readonly attempt: number
	readonly fence: number
}

/** Lets one run work at a share of its speed. @public */
export interface PaceOrder extends StopOrder {
	/** From 0 to 100. */
	readonly percent: number
}

/** Renews a worker's lease and asks what runs and what has ended there. @public */
export interface PollOrder {
	readonly fence: number
	/** Ends up to this number are committed; the worker may forget them. */
	readonly endsSeen: number
	/** New end of the lease on the worker's clock; absent to leave it as it is. */
	readonly leaseUntil?: number
	/** Whole milliseconds that the answer may wait for the next end. */
	readonly wait: number
}

/** Why a worker did not do what it was told. @public */
export const Refusal = {
	/** It has obeyed a higher fence. */
	Fence: 'fence',
	/** That run, or a later one of the task, has ended there or was stopped. */
	Superseded: 'old',
	/** The lease that the order brought is over. */
	LeaseExpired: 'late',
	NoCapacity: 'room',
	/** The ticket does not let it run the step, or no longer. */
	Ticket: 'ticket',
	/** It is not well and has done nothing. */
	Unhealthy: 'unhealthy',
	/** It does not understand the order. */
	Invalid: 'invalid',
} as const
/** One of the reasons. @public */
export type Refusal = (typeof Refusal)[keyof typeof Refusal]

/** What came of an order. @public */
export type OrderResult =
	/** Done; `clock` is the worker's own clock in milliseconds, where it told it. */
	| { readonly kind: 'done'; readonly clock?: number }
	| { readonly kind: 'refused'; readonly reason: Refusal; readonly clock?: number }
	/** Another incarnation answers at that address. */
	| { readonly kind: 'other-incarnation' }
	/** No whole answer came: it may have been done, or may still be. */
	| { readonly kind: 'unknown'; readonly message: string }
	/**
	 * The instance that was to carry it said nothing of it: it may have been done, or may still be. It tells nothing of
	 * the worker.
	 */
	| { readonly kind: 'not-carried' }

/** A run that a worker lists as running. @public */
export interface ListedRun {
	readonly task: string
	readonly attempt: number
	readonly checkpoint: string
	/** How far it has got, from 0 to 100. */
	readonly percent: number
	/** Tail latency in milliseconds of a lasting task that serves; thousandths of a core for others. */
	readonly measure: number
}

/** A run that a worker lists as ended. @public */
export interface ListedEnd {
	/** Rises from 1 in each incarnation. */
	readonly number: number
	readonly task: string
	readonly attempt: number
	readonly how: RunEnd
	readonly checkpoint: string
}

/** What a poll of a worker brought. @public */
export type PollResult =
	| {
			readonly kind: 'done'
			readonly clock: number
			/** When the worker that answers started, milliseconds since the epoch; absent where workers do not say. */
			readonly born?: number
			readonly running: readonly ListedRun[]
			readonly ended: readonly ListedEnd[]
	  }
	| Exclude<OrderResult, { kind: 'done' }>

/** Carries orders to workers. @public */
export abstract class WorkerOrders {
	/** Most polls of workers of unknown state that the leader should send in one tick. */
	get maxProbesPerTick(): number {
		return MAX_PROBES_PER_TICK
	}

	abstract start(worker: OrderTarget, order: StartOrder, done: (result: OrderResult) => void): void
	abstract stop(worker: OrderTarget, order: StopOrder, done: (result: OrderResult) => void): void
	abstract pace(worker: OrderTarget, order: PaceOrder, done: (result: OrderResult) => void): void
	abstract poll(worker: OrderTarget, order: PollOrder, done: (result: PollResult) => void): void
}

/** A question to the service that knows a queue's policy. @public */
export interface AdviceQuestion {
	/** Name of the step: job, repeat and step. */
	readonly step: string
	/** Ids of the workers asked about. */
	readonly workers: readonly string[]
}

/** What came of a question. @public */
export type AdviceResult =
	/** For each worker that may run the step its ticket. */
	| { readonly kind: 'answered'; readonly tickets: ReadonlyMap<string, string> }
	| { readonly kind: 'busy' }
	| { readonly kind: 'unknown'; readonly message: string }

/** Asks for advice through one instance or another: the service answers one call at a time from each. @public */
export abstract class Advisers {
	/** Ids of the instances that can ask now. */
	abstract available(): readonly string[]
	/** How well an instance can ask now; all alike unless more is known. */
	standing(_via: string): AdviserStanding {
		return PLAIN_STANDING
	}

	/** Asks through an instance. */
	abstract ask(via: string, question: AdviceQuestion, done: (result: AdviceResult) => void): void
}

/** The replicated log as the controller sees it. @public */
export abstract class Proposals {
	/**
	 * Adds a command; it takes effect once it is committed.
	 *
	 * @param command - the command.
	 * @param done - called once it has been applied; never when leadership is lost before.
	 */
	abstract propose(command: CellCommand, done?: () => void): void
}
