/** The calls of operators to a data centre or to the system group, encoded as JSON. */
import { z } from 'zod'

/** Fields of every call. */
const caller = {
	/** Name from the certificate or token, filled in by the instance that received the call. */
	operator: z.string(),
	/** Idempotency key chosen by the operator's client: a resend gets the first answer. */
	request: z.string(),
}

/** The schema of a call. @public */
export const operatorCallSchema = z.discriminatedUnion('kind', [
	z.object({ kind: z.literal('plan'), ...caller, document: z.string() }),
	z.object({ kind: z.literal('confirm'), ...caller, plan: z.string() }),
	z.object({ kind: z.literal('reject'), ...caller, plan: z.string() }),
	z.object({ kind: z.literal('cancel'), ...caller, intent: z.string() }),
	z.object({ kind: z.literal('drain'), ...caller, worker: z.string() }),
	z.object({ kind: z.literal('explain'), ...caller, task: z.string() }),
	z.object({ kind: z.literal('tasks'), ...caller, intent: z.string().optional() }),
	z.object({ kind: z.literal('workers'), ...caller }),
	z.object({
		kind: z.literal('audit'),
		...caller,
		who: z.string().optional(),
		what: z.string().optional(),
		from: z.number().optional(),
		to: z.number().optional(),
	}),
	z.object({
		kind: z.literal('propose'),
		...caller,
		replaces: z.number().int().min(0),
		document: z.string(),
	}),
	z.object({ kind: z.literal('declare-down'), ...caller, dataCentre: z.string() }),
	z.object({ kind: z.literal('declare-up'), ...caller, dataCentre: z.string() }),
	/** Sent by the leader of the data centre that the configuration names as the customer's home. */
	z.object({
		kind: z.literal('take-home'),
		...caller,
		customer: z.string(),
		to: z.string(),
		revision: z.number(),
	}),
])

/** A call of an operator. @public */
export type OperatorCall = z.infer<typeof operatorCallSchema>

/** The reply to a call; `code` is an HTTP status. @public */
export interface OperatorReply {
	readonly code: number
	/** Human-readable result or reason. */
	readonly message: string
	/** The requested data, or details of the result. */
	readonly content?: unknown
}
