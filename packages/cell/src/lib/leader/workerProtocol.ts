/**
 * What is said to a worker about its tasks, as JSON over HTTP: one exchange renews the leases of all its
 * tasks, gives orders and takes reports.
 *
 * A worker puts a stamp of its own clock into every reply. The next call sends that stamp back, and the
 * leases of the worker's tasks end `leaseMs` after it; so a call that was long under way renews nothing.
 */
import { z } from 'zod'

/** An order to start a task. @public */
export interface StartOrder {
	readonly task: string
	/** A worker takes no order for a task with a fence below one that it has seen. */
	readonly fence: number
	readonly cpu: number
	readonly memory: number
	readonly accelerators: number
	readonly command: readonly string[]
}

/** An order for a task that runs. @public */
export interface TaskOrder {
	readonly task: string
	readonly fence: number
}

/** An order to go on with fewer processors. @public */
export interface ThrottleOrder extends TaskOrder {
	/** Thousandths of a processor. */
	readonly cpu: number
}

/** What a worker is told. @public */
export interface ExchangeCall {
	/** Term of the leader; a worker takes no call of a lower one. */
	readonly term: number
	/** The stamp of the worker's newest reply; -1 before the first. */
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

/** What a worker replies. @public */
export type ExchangeReply = z.infer<typeof exchangeReplySchema>

/** The schema of a worker's word on an attempt. @public */
export const settleReplySchema = z.discriminatedUnion('state', [
	z.object({
		state: z.literal('ran'),
		status: z.number().int(),
		headers: z.array(z.object({ name: z.string(), value: z.string() })),
		/** Base64. */
		body: z.string(),
	}),
	/** It is still at work. */
	z.object({ state: z.literal('running') }),
	/** It has not seen it, and will refuse it from now on. */
	z.object({ state: z.literal('never') }),
])

/** A worker's word on an attempt. @public */
export type SettleReply = z.infer<typeof settleReplySchema>
