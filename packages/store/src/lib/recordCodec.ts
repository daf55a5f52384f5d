/** Encodes and decodes the records of a file: length, checksum, payload. */
import { crc32 } from 'node:zlib'

/** Size of a record header: length and CRC-32 checksum, both unsigned 32-bit little-endian. @public */
export const RECORD_HEADER_BYTES = 8
/** Maximum payload size; a header with a greater length counts as damage. @public */
export const MAX_RECORD_BYTES = 1 << 30

/** The condition in which a file was found. @public */
export const FileCondition = {
	/** The file ends with a complete record. */
	Clean: 'clean',
	/** The last record is incomplete, as after a power loss; it was never acknowledged. */
	Torn: 'torn',
	/** A complete record has a wrong checksum or length: nothing in the file can be trusted. */
	Damaged: 'damaged',
} as const
/** One of the values of `FileCondition`. @public */
export type FileCondition = (typeof FileCondition)[keyof typeof FileCondition]

/** The records read from a file. @public */
export interface ReadRecords {
	readonly records: Buffer[]
	/** Offset of the end of the last complete record, in bytes. */
	readonly length: number
	readonly ending: FileCondition
}

/**
 * @param payload - the payload of a record.
 * @returns the header and the payload.
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
 * Decodes records until the end of the file or the first invalid record.
 *
 * A truncated last record and a tail of zeros are what a power loss leaves behind. A complete record
 * with a wrong checksum may have been acknowledged, so it counts as damage.
 *
 * @param file - the content of the file.
 * @returns the records and the condition of the file.
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
