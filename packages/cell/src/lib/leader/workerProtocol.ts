/**
 * The protocol between the leader and a worker about its tasks, as JSON over HTTP. One exchange renews
 * the leases of all tasks on the worker, sends orders and returns reports.
 *
 * A worker puts a timestamp of its own clock into every reply. The next call returns that stamp, and the
 * leases of the worker's tasks expire `leaseMs` after it, so a call that was delayed in transit does not
 * extend them.
 */
import { z } from 'zod'

/** An order to start a task. @public */
export interface StartOrder {
	readonly task: string
	/** A worker refuses orders for a task with a lower fence than the highest it has seen. */
	readonly fence: number
	readonly cpu: number
	readonly memory: number
	readonly accelerators: number
	readonly command: readonly string[]
}

/** An order for a running task. @public */
export interface TaskOrder {
	readonly task: string
	readonly fence: number
}

/** An order to continue a task with fewer processors. @public */
export interface ThrottleOrder extends TaskOrder {
	/** Thousandths of a processor. */
	readonly cpu: number
}

/** The body of a call to a worker. @public */
export interface ExchangeCall {
	/** Term of the leader; a worker refuses calls with a lower term than the highest it has seen. */
	readonly term: number
	/** The stamp of the worker's newest reply; -1 before the first reply. */
	readonly stamp: number
	readonly leaseMs: number
	readonly start: readonly StartOrder[]
	readonly stop: readonly TaskOrder[]
	readonly checkpoint: readonly TaskOrder[]
	readonly throttle: readonly ThrottleOrder[]
}

const taskName = { task: z.string(), fence: z.number() }

/** The schema of a worker's reply. @public */
export const exchangeReplySchema = z.object({
	stamp: z.number(),
	leaving: z.boolean().default(false),
	running: z.array(
		z.object({ ...taskName, cpu: z.number(), memory: z.number(), accelerators: z.number() })
	),
	ended: z.array(z.object({ ...taskName, result: z.enum(['done', 'failed', 'stopped']) })),
	refused: z.array(z.object({ ...taskName, reason: z.string() })),
})

/** A worker's reply to an exchange. @public */
export type ExchangeReply = z.infer<typeof exchangeReplySchema>

/** The schema of a worker's reply about an attempt. @public */
export const settleReplySchema = z.discriminatedUnion('state', [
	z.object({
		state: z.literal('ran'),
		status: z.number().int(),
		headers: z.array(z.object({ name: z.string(), value: z.string() })),
		/** Base64. */
		body: z.string(),
	}),
	/** The attempt is still running. */
	z.object({ state: z.literal('running') }),
	/** The worker has not seen the attempt, and refuses it from now on. */
	z.object({ state: z.literal('never') }),
])

/** A worker's reply about an attempt. @public */
export type SettleReply = z.infer<typeof settleReplySchema>
