/** Reads a complete message body, up to a size limit. */
import type { IncomingMessage } from 'node:http'
import { failure, success, type Result } from '@rillrudder/utils'

/** Why a body could not be read completely. @public */
export const BodyError = {
	/** The body exceeds the size limit. */
	TooLong: 'too-long',
	/** The connection closed before the end of the body. */
	CutOff: 'cut-off',
} as const
/** One of the reasons. @public */
export type BodyError = (typeof BodyError)[keyof typeof BodyError]

/**
 * @param message - a request or response.
 * @param maxBytes - the size limit in bytes.
 * @returns the complete body, or why it could not be read.
 * @public
 */
export function readBody(
	message: IncomingMessage,
	maxBytes: number
): Promise<Result<Buffer, BodyError>> {
	return new Promise((resolve) => {
		const pieces: Buffer[] = []
		let length = 0
		message.on('data', (piece: Buffer) => {
			length += piece.length
			if (length <= maxBytes) pieces.push(piece)
			else resolve(failure(BodyError.TooLong))
		})
		message.on('end', () => resolve(success(Buffer.concat(pieces))))
		message.on('error', () => resolve(failure(BodyError.CutOff)))
		message.on('close', () => resolve(failure(BodyError.CutOff)))
	})
}
