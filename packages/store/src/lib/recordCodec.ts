/** Records in a file: length, checksum, bytes. */
import { crc32 } from 'node:zlib'

/** Bytes before each record: its length and its checksum, both unsigned 32-bit little-endian. @public */
export const RECORD_HEADER_BYTES = 8
/** No record is longer; a longer length is damage, not a record. @public */
export const MAX_RECORD_BYTES = 1 << 30

/** How reading a file ended. @public */
export const FileCondition = {
	/** At the end of the last record. */
	Clean: 'clean',
	/** In the middle of a record that was being written when the power went: nothing was promised of it. */
	Torn: 'torn',
	/** At a whole record that is not what was written: nothing in the file can be trusted. */
	Damaged: 'damaged',
} as const
/** One of the endings. @public */
export type FileCondition = (typeof FileCondition)[keyof typeof FileCondition]

/** What a file held. @public */
export interface ReadRecords {
	readonly records: Buffer[]
	/** Bytes up to the end of the last whole record. */
	readonly length: number
	readonly ending: FileCondition
}

/**
 * @param payload - the bytes of a record.
 * @returns the bytes to write.
 * @public
 */
export function encodeRecord(payload: Uint8Array): Buffer {
	const record = Buffer.allocUnsafe(RECORD_HEADER_BYTES + payload.length)
	record.writeUInt32LE(payload.length, 0)
	record.writeUInt32LE(crc32(payload), 4)
	record.set(payload, RECORD_HEADER_BYTES)
	return record
}

/**
 * Reads records until the file ends or stops making sense.
 *
 * A record that the file is too short for, and a tail of zeros, are what a lost power supply leaves
 * behind. A whole record with a wrong checksum may have been acknowledged, so it counts as damage.
 *
 * @param file - the bytes of the file.
 * @returns the records and how reading ended.
 * @public
 */
export function decodeRecords(file: Buffer): ReadRecords {
	const records: Buffer[] = []
	let offset = 0
	while (offset < file.length) {
		if (isZeroFrom(file, offset)) return { records, length: offset, ending: FileCondition.Torn }
		if (file.length - offset < RECORD_HEADER_BYTES) {
			return { records, length: offset, ending: FileCondition.Torn }
		}
		const size = file.readUInt32LE(offset)
		if (size > MAX_RECORD_BYTES) return { records, length: offset, ending: FileCondition.Damaged }
		const end = offset + RECORD_HEADER_BYTES + size
		if (end > file.length) return { records, length: offset, ending: FileCondition.Torn }
		const payload = file.subarray(offset + RECORD_HEADER_BYTES, end)
		if (crc32(payload) !== file.readUInt32LE(offset + 4)) {
			return { records, length: offset, ending: FileCondition.Damaged }
		}
		records.push(payload)
		offset = end
	}
	return { records, length: offset, ending: FileCondition.Clean }
}

function isZeroFrom(file: Buffer, offset: number): boolean {
	if (file[offset] !== 0) return false
	for (let at = offset; at < file.length; at++) if (file[at] !== 0) return false
	return true
}
