/** What operators ask a data centre or the whole system, as JSON. */
import { z } from 'zod'

/** What every call carries. */
const caller = {
	/** From the certificate or token, filled in by the instance that was asked. */
	operator: z.string(),
	/** Chosen by the operator's client, so that a resend gets the first answer. */
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
	/** Asked by the leader of another data centre, which the configuration names as the home. */
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

/** How a call ended; `code` is the HTTP status that says so. @public */
export interface OperatorReply {
	readonly code: number
	/** What was done or why not, for people. */
	readonly message: string
	/** What was asked for. */
	readonly content?: unknown
}
