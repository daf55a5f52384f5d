/** Versioned records: one line of JSON, validated and migrated to the current version when read. */
import { Buffer } from 'node:buffer'
import { VError } from 'verror'
import type { z } from 'zod'

/** A record of any version, before validation. @public */
export type RawRecord = { [field: string]: unknown }

/** Migrates records of one version to the next. @public */
export interface Migration {
	readonly from: number
	readonly migrate: (record: RawRecord) => RawRecord
}

/**
 * @param version - the version that is written.
 * @param record - the record.
 * @param schema - schema of the record.
 * @returns its bytes.
 * @throws VError named `RecordInvalid` if the record does not match the schema.
 * @internal
 */
export function writeRecord(version: number, record: object, schema: z.ZodType): Buffer {
	check(record, schema)
	return Buffer.from(JSON.stringify({ version, ...record }))
}

/**
 * @param bytes - a record's bytes.
 * @param version - the current version.
 * @param migrations - migrations from each earlier version to the next.
 * @param schema - schema of the record in the current version.
 * @returns the record, migrated to the current version.
 * @throws VError named `RecordInvalid` for a later version, or a record that does not match the schema.
 * @internal
 */
export function readRecord<Schema extends z.ZodType>(
	bytes: Uint8Array,
	version: number,
	migrations: readonly Migration[],
	schema: Schema
): z.infer<Schema> {
	let record = JSON.parse(Buffer.from(bytes).toString()) as RawRecord
	const written = Number(record.version)
	if (!(written <= version)) {
		const info = { written, version }
		throw new VError({ name: 'RecordInvalid', info }, 'record has unknown version %d', written)
	}
	for (let at = written; at < version; at++) {
		record = migrations.find((one) => one.from === at)?.migrate(record) ?? record
	}
	return check(record, schema)
}

function check<Schema extends z.ZodType>(record: object, schema: Schema): z.infer<Schema> {
	const parsed = schema.safeParse(record)
	if (parsed.success) return parsed.data
	throw new VError(
		{ name: 'RecordInvalid', cause: parsed.error },
		'record does not match its schema'
	)
}
