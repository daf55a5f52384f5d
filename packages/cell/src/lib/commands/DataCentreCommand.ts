/**
 * The commands of a data centre's log. Each is a record with a version; an older one is brought up to
 * date when it is read, so that a log outlives the program that wrote it.
 */
import { Buffer } from 'node:buffer'
import { parsedIntentSchema } from '@rillrudder/settings'
import { z } from 'zod'
import { keptAnswerSchema } from '../records/Answer'
import { Outcome, Problem } from '../records/Outcome'
import { readRecord, writeRecord, type Migration } from './versioned'

const count = z.number().int().min(0)
/** Calendar time in milliseconds since the epoch, as the leader read it. */
const moment = z.number()
const requestName = { customer: z.string(), key: z.string() }
const resources = z.object({ cpu: z.number(), memory: z.number(), accelerators: z.number() })

/** What an operator's command carries besides its content. */
const operatorPart = {
	/** Who: from the certificate or token. */
	operator: z.string(),
	/** Chosen by the operator's client; the same again gets the same answer. */
	request: z.string(),
	at: moment,
}

const admit = z.object({
	kind: z.literal('admit'),
	...requestName,
	digest: z.string(),
	/** Life of the entry instance that holds the body. */
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

/** An attempt certainly did not start; the request waits again. */
const unstart = z.object({ kind: z.literal('unstart'), ...requestName, attempt: count })

/** Nobody waits for an admitted request any more, and nobody was told anything: it leaves the queue. */
const park = z.object({ kind: z.literal('park'), ...requestName, at: moment })

const finish = z.object({
	kind: z.literal('finish'),
	...requestName,
	/** Set where the request was never admitted. */
	digest: z.string().optional(),
	outcome: z.enum(Outcome),
	problem: z.enum(Problem).optional(),
	answer: keptAnswerSchema.optional(),
	at: moment,
})

/** Forgets answers and keys that are past their time. */
const forget = z.object({
	kind: z.literal('forget'),
	answersBefore: moment,
	keysBefore: moment,
	/** MiB of answers that may be kept. */
	answerMemory: z.number(),
})

/** All slots that an entry instance is lent from now on. */
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
	/** The ground that the plan was made from. */
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
	/** The ground on which the leader found that the plan still comes out the same. */
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

/** A task no longer runs where it ran, and its lease there is over. */
const unplace = z.object({
	kind: z.literal('unplace'),
	task: z.string(),
	worker: z.string(),
	/** Whether it is done, or waits to be placed again. */
	done: z.boolean(),
	/** Whether its worker was lost, or began anew without it; absent for no. */
	lost: z.boolean().optional(),
	reason: z.string(),
	at: moment,
})

/** A task goes on with fewer processors. */
const throttle = z.object({
	kind: z.literal('throttle'),
	task: z.string(),
	cpu: z.number(),
	at: moment,
})

/** A customer's home is closed here: nothing of it starts any more. */
const closeHome = z.object({
	kind: z.literal('close-home'),
	...operatorPart,
	customer: z.string(),
	to: z.string(),
	/** The configuration revision that moved it. */
	revision: count,
})

/** A customer's home opens here, with the keys it has used elsewhere. */
const openHome = z.object({
	kind: z.literal('open-home'),
	customer: z.string(),
	revision: count,
	/** Data centres that were declared down, and could not hand their keys over. */
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

/** Version of the commands that are written now. @public */
export const DATA_CENTRE_COMMAND_VERSION = 2

/** Version 1 did not say why a worker changed. */
const MIGRATIONS: Migration[] = [
	{
		from: 1,
		migrate: (record) => (record.kind === 'worker' ? { reason: '', ...record } : record),
	},
]

/**
 * @param command - a command.
 * @returns its bytes for the log.
 * @throws VError named `RecordInvalid`, so that nothing gets into a log that no replica can read.
 * @public
 */
export function encodeDataCentreCommand(command: DataCentreCommand): Buffer {
	return writeRecord(DATA_CENTRE_COMMAND_VERSION, command, dataCentreCommandSchema)
}

/**
 * @param bytes - a command's bytes.
 * @returns the command, brought up to date.
 * @throws VError named `RecordInvalid` for bytes that are no command, or of a later version.
 * @public
 */
export function decodeDataCentreCommand(bytes: Uint8Array): DataCentreCommand {
	return readRecord(bytes, DATA_CENTRE_COMMAND_VERSION, MIGRATIONS, dataCentreCommandSchema)
}
