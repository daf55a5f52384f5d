/** Ports of the controller: orders to workers, advice, and the replicated log. */
import type { CellCommand } from '../commands/CellCommand'
import type { Worker } from '../records/Cell'
import type { RunEnd } from '../records/Job'
import { DEFAULT_ADVISER_STATUS, type AdviserStatus } from './advice/AdviserStatus'

/** Polls over a new connection that one instance sends in a tick; each takes it about 1 ms. */
const MAX_PROBES_PER_TICK = 20

/** The worker that an order is addressed to. @public */
export type OrderTarget = Pick<Worker, 'id' | 'address' | 'dataCentre'>

/** Starts one run of a task. @public */
export interface StartOrder {
	/** The task's name in text form. */
	readonly task: string
	readonly attempt: number
	readonly spec: string
	/** End of the worker's lease in milliseconds, on the worker's own clock. */
	readonly leaseUntil: number
	/**
	 * Fencing token: the term of the leader. A worker that has obeyed a higher one refuses the
	 * order.
	 */
	readonly fence: number
	/** Checkpoint to resume from; empty to start from the beginning. */
	readonly checkpoint: string
	/**
	 * Proof that the queue's policy allows this worker to run the step; empty where the policy
	 * requires none.
	 */
	readonly ticket: string
}

/** Stops one run of a task. @public */
export interface StopOrder {
	readonly task: string
	readonly attempt: number
	readonly fence: number
}

/** Throttles one run to a share of its full speed. @public */
export interface PaceOrder extends StopOrder {
	/** Share of the full speed, from 0 to 100. */
	readonly percent: number
}

/** Renews a worker's lease and requests its running and ended runs. @public */
export interface PollOrder {
	readonly fence: number
	/** Ends up to this number are committed, so the worker may forget them. */
	readonly endsSeen: number
	/** New end of the lease on the worker's clock; absent to leave the lease unchanged. */
	readonly leaseUntil?: number
	/** Whole milliseconds for which the worker may delay its answer until the next run ends. */
	readonly wait: number
}

/** Why a worker refused an order. @public */
export const Refusal = {
	/** It has obeyed an order with a higher fencing token. */
	Fence: 'fence',
	/** This run, or a later one of the task, has ended or was stopped there. */
	Superseded: 'old',
	/** The lease that the order carried has expired. */
	LeaseExpired: 'late',
	/** It lacks free capacity for the run. */
	NoCapacity: 'room',
	/** The ticket does not allow it to run the step, or has expired. */
	Ticket: 'ticket',
	/** It is unhealthy and did not carry out the order. */
	Unhealthy: 'unhealthy',
	/** The order is malformed. */
	Invalid: 'invalid',
} as const
/** A reason of a worker to refuse an order. @public */
export type Refusal = (typeof Refusal)[keyof typeof Refusal]

/** The result of an order. @public */
export type OrderResult =
	/** Carried out; `clock` is the worker's own clock in milliseconds, where it reported it. */
	| { readonly kind: 'done'; readonly clock?: number }
	| { readonly kind: 'refused'; readonly reason: Refusal; readonly clock?: number }
	/** Another incarnation answers at that address. */
	| { readonly kind: 'other-incarnation' }
	/** No complete answer arrived: the order may have been carried out, or may still be. */
	| { readonly kind: 'unknown'; readonly message: string }
	/**
	 * The instance that should have carried the order reported no result: the order may have been
	 * carried out, or may still be. This is no evidence about the worker.
	 */
	| { readonly kind: 'not-carried' }

/** A run that a worker lists as running. @public */
export interface ListedRun {
	readonly task: string
	readonly attempt: number
	readonly checkpoint: string
	/** Progress, from 0 to 100. */
	readonly percent: number
	/**
	 * For a lasting task that serves requests, its tail latency in milliseconds; for others,
	 * thousandths of a core in use.
	 */
	readonly measure: number
}

/** A run that a worker lists as ended. @public */
export interface ListedEnd {
	/** Sequence number of the end; starts at 1 in each incarnation of the worker. */
	readonly number: number
	readonly task: string
	readonly attempt: number
	readonly how: RunEnd
	readonly checkpoint: string
}

/** The result of a poll. @public */
export type PollResult =
	| {
			readonly kind: 'done'
			readonly clock: number
			/**
			 * When the worker that answers started, milliseconds since the epoch; absent where workers
			 * do not report it.
			 */
			readonly born?: number
			readonly running: readonly ListedRun[]
			readonly ended: readonly ListedEnd[]
	  }
	| Exclude<OrderResult, { kind: 'done' }>

/** Carries orders to workers. @public */
export abstract class WorkerOrders {
	/**
	 * Maximum number of polls that the leader should send in one tick to workers whose state is
	 * unknown.
	 */
	get maxProbesPerTick(): number {
		return MAX_PROBES_PER_TICK
	}

	abstract start(worker: OrderTarget, order: StartOrder, done: (result: OrderResult) => void): void
	abstract stop(worker: OrderTarget, order: StopOrder, done: (result: OrderResult) => void): void
	abstract pace(worker: OrderTarget, order: PaceOrder, done: (result: OrderResult) => void): void
	abstract poll(worker: OrderTarget, order: PollOrder, done: (result: PollResult) => void): void
}

/** A request to the service that evaluates a queue's policy. @public */
export interface AdviceQuestion {
	/** Name of the step: job, repeat and step. */
	readonly step: string
	/** Ids of the candidate workers. */
	readonly workers: readonly string[]
}

/** The result of a request for advice. @public */
export type AdviceResult =
	/** Tickets by the ids of the workers that may run the step. */
	| { readonly kind: 'answered'; readonly tickets: ReadonlyMap<string, string> }
	| { readonly kind: 'busy' }
	| { readonly kind: 'unknown'; readonly message: string }

/**
 * Requests advice through the instances of the cell, because the service answers only one call at a
 * time from each.
 *
 * @public
 */
export abstract class Advisers {
	/** @returns the ids of the instances that can request advice now. */
	abstract available(): readonly string[]
	/** @returns how suitable an instance is for a request now; the same for all unless overridden. */
	standing(_via: string): AdviserStatus {
		return DEFAULT_ADVISER_STATUS
	}

	/** Sends a request through an instance. */
	abstract ask(via: string, question: AdviceQuestion, done: (result: AdviceResult) => void): void
}

/** The replicated log, as the controller uses it. @public */
export abstract class Proposals {
	/**
	 * Proposes a command, which takes effect after it is committed.
	 *
	 * @param command - the command.
	 * @param done - called after the command is applied; never if leadership is lost before that.
	 */
	abstract propose(command: CellCommand, done?: () => void): void
}
