/**
 * The commands of a data centre's log. Each is a versioned record; older versions are migrated when they
 * are read, so that newer programs can read existing logs.
 */
import { Buffer } from 'node:buffer'
import { parsedIntentSchema } from '@rillrudder/settings'
import { z } from 'zod'
import { storedAnswerSchema } from '../records/StoredAnswer'
import { Outcome, Problem } from '../records/Outcome'
import { readRecord, writeRecord, type Migration } from './versioned'

const count = z.number().int().min(0)
/** Wall-clock time of the leader, in milliseconds since the epoch. */
const moment = z.number()
const requestName = { customer: z.string(), key: z.string() }
const resources = z.object({ cpu: z.number(), memory: z.number(), accelerators: z.number() })

/** Common fields of operators' commands. */
const operatorPart = {
	/** Name from the certificate or token. */
	operator: z.string(),
	/** Idempotency key chosen by the operator's client: a resend gets the first answer. */
	request: z.string(),
	at: moment,
}

const admit = z.object({
	kind: z.literal('admit'),
	...requestName,
	digest: z.string(),
	/** Incarnation of the entry instance that holds the body. */
	holder: z.string(),
	/** How long an attempt may run, in milliseconds. */
	timeout: count,
	at: moment,
})

const start = z.object({
	kind: z.literal('start'),
	...requestName,
	attempt: count,
	worker: z.string(),
	holder: z.string(),
})

/** Reverts a start: the attempt certainly did not start, and the request waits again. */
const unstart = z.object({ kind: z.literal('unstart'), ...requestName, attempt: count })

/** Removes an admitted request from the queue because nobody waits for it. No verdict was sent. */
const park = z.object({ kind: z.literal('park'), ...requestName, at: moment })

const finish = z.object({
	kind: z.literal('finish'),
	...requestName,
	/** Set if the request was never admitted. */
	digest: z.string().optional(),
	outcome: z.enum(Outcome),
	problem: z.enum(Problem).optional(),
	answer: storedAnswerSchema.optional(),
	at: moment,
})

/** Drops answers and keys that have passed their retention time. */
const forget = z.object({
	kind: z.literal('forget'),
	answersBefore: moment,
	keysBefore: moment,
	/** Maximum size of stored answers in MiB. */
	answerMemory: z.number(),
})

/** Replaces the loan of an entry instance. */
const lend = z.object({
	kind: z.literal('lend'),
	holder: z.string(),
	slots: z.array(z.object({ worker: z.string(), slots: count })),
})

const worker = z.object({
	kind: z.literal('worker'),
	id: z.string(),
	address: z.string(),
	rack: z.string(),
	capacity: resources,
	slots: count,
	state: z.enum(['live', 'leaving', 'gone']),
	reason: z.string(),
	at: moment,
})

const plan = z.object({
	kind: z.literal('plan'),
	...operatorPart,
	id: z.string(),
	intent: parsedIntentSchema,
	/** Version of the state (`DataCentreState.ground`) from which the plan was made. */
	ground: count,
	steps: z.array(
		z.object({ action: z.string(), task: z.string(), where: z.string(), why: z.string() })
	),
	impossible: z.array(z.string()),
})

const confirm = z.object({
	kind: z.literal('confirm'),
	...operatorPart,
	plan: z.string(),
	/** The ground for which the leader found that a new draft still results in the same steps. */
	verified: count,
})
const reject = z.object({ kind: z.literal('reject'), ...operatorPart, plan: z.string() })
const cancel = z.object({ kind: z.literal('cancel'), ...operatorPart, intent: z.string() })
const drain = z.object({ kind: z.literal('drain'), ...operatorPart, worker: z.string() })

const place = z.object({
	kind: z.literal('place'),
	task: z.string(),
	worker: z.string(),
	reserved: resources,
	reason: z.string(),
	at: moment,
})

/** Removes a task from its worker: it no longer runs there, or its lease there has expired. */
const unplace = z.object({
	kind: z.literal('unplace'),
	task: z.string(),
	worker: z.string(),
	/** Whether it is done; otherwise it waits to be placed again. */
	done: z.boolean(),
	/** Whether its worker was lost or restarted without it; absent means false. */
	lost: z.boolean().optional(),
	reason: z.string(),
	at: moment,
})

/** Reduces the processors of a running task. */
const throttle = z.object({
	kind: z.literal('throttle'),
	task: z.string(),
	cpu: z.number(),
	at: moment,
})

/** Closes a customer's home here: none of its requests is admitted any more. */
const closeHome = z.object({
	kind: z.literal('close-home'),
	...operatorPart,
	customer: z.string(),
	to: z.string(),
	/** The configuration revision that moved it. */
	revision: count,
})

/** Opens a customer's home here, with the records of its previous homes. */
const openHome = z.object({
	kind: z.literal('open-home'),
	customer: z.string(),
	revision: count,
	/** Data centres that were declared down and could not transfer their records. */
	without: z.array(z.string()),
	records: z.array(z.unknown()),
	at: moment,
})

/** The schema of a command. @public */
export const dataCentreCommandSchema = z.discriminatedUnion('kind', [
	admit,
	start,
	unstart,
	park,
	finish,
	forget,
	lend,
	worker,
	plan,
	confirm,
	reject,
	cancel,
	drain,
	place,
	unplace,
	throttle,
	closeHome,
	openHome,
])

/** A command of a data centre's log. @public */
export type DataCentreCommand = z.infer<typeof dataCentreCommandSchema>
/** A command of one kind. @public */
export type CommandOf<Kind extends DataCentreCommand['kind']> = Extract<
	DataCentreCommand,
	{ kind: Kind }
>

/** Version of the commands that are written. @public */
export const DATA_CENTRE_COMMAND_VERSION = 2

/** Version 1 had no reason for a worker's change. */
const MIGRATIONS: Migration[] = [
	{
		from: 1,
		migrate: (record) => (record.kind === 'worker' ? { reason: '', ...record } : record),
	},
]

/**
 * @param command - a command.
 * @returns its bytes for the log.
 * @throws VError named `RecordInvalid` for an invalid command, since no replica could read it.
 * @public
 */
export function encodeDataCentreCommand(command: DataCentreCommand): Buffer {
	return writeRecord(DATA_CENTRE_COMMAND_VERSION, command, dataCentreCommandSchema)
}

/**
 * @param bytes - a command's bytes.
 * @returns the command, migrated to the current version.
 * @throws VError named `RecordInvalid` for an invalid command, or one of a later version.
 * @public
 */
export function decodeDataCentreCommand(bytes: Uint8Array): DataCentreCommand {
	return readRecord(bytes, DATA_CENTRE_COMMAND_VERSION, MIGRATIONS, dataCentreCommandSchema)
}
