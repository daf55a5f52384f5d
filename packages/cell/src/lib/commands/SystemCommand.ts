/** The commands of the system's log: configuration and declarations about data centres. */
import type { Buffer } from 'node:buffer'
import { z } from 'zod'
import { readRecord, writeRecord } from './versioned'

const propose = z.object({
	kind: z.literal('propose'),
	operator: z.string(),
	request: z.string(),
	at: z.number(),
	/** The revision that this one replaces. */
	replaces: z.number().int().min(0),
	/** YAML, as the operator wrote it. */
	document: z.string(),
})

/** Declares a data centre permanently down, so that its customers may be served elsewhere. */
const declareDown = z.object({
	kind: z.literal('declare-down'),
	operator: z.string(),
	request: z.string(),
	at: z.number(),
	dataCentre: z.string(),
})

/** Allows a data centre that was declared down to take part again. */
const declareUp = declareDown.extend({ kind: z.literal('declare-up') })

/** The schema of a command. @public */
export const systemCommandSchema = z.discriminatedUnion('kind', [propose, declareDown, declareUp])

/** A command of the system's log. @public */
export type SystemCommand = z.infer<typeof systemCommandSchema>

/** Version of the commands that are written. @public */
export const SYSTEM_COMMAND_VERSION = 1

/**
 * @param command - a command.
 * @returns its bytes for the log.
 * @public
 */
export function encodeSystemCommand(command: SystemCommand): Buffer {
	return writeRecord(SYSTEM_COMMAND_VERSION, command, systemCommandSchema)
}

/**
 * @param bytes - a command's bytes.
 * @returns the command.
 * @throws VError named `RecordInvalid` for an invalid command, or one of a later version.
 * @public
 */
export function decodeSystemCommand(bytes: Uint8Array): SystemCommand {
	return readRecord(bytes, SYSTEM_COMMAND_VERSION, [], systemCommandSchema)
}
