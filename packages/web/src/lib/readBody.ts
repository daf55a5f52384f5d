/** Reads a whole body, up to a bound. */
import type { IncomingMessage } from 'node:http'
import { failure, success, type Result } from '@rillrudder/utils'

/** Why a body could not be read whole. @public */
export const BodyError = {
	/** It is longer than may be. */
	TooLong: 'too-long',
	/** The connection ended before it did. */
	CutOff: 'cut-off',
} as const
/** One of the faults. @public */
export type BodyError = (typeof BodyError)[keyof typeof BodyError]

/**
 * @param message - a request or response.
 * @param most - bytes that it may have.
 * @returns the whole body, or why there is none.
 * @public
 */
export function readBody(
	message: IncomingMessage,
	most: number
): Promise<Result<Buffer, BodyError>> {
	return new Promise((resolve) => {
		const pieces: Buffer[] = []
		let length = 0
		message.on('data', (piece: Buffer) => {
			length += piece.length
			if (length <= most) pieces.push(piece)
			else resolve(failure(BodyError.TooLong))
		})
		message.on('end', () => resolve(success(Buffer.concat(pieces))))
		message.on('error', () => resolve(failure(BodyError.CutOff)))
		message.on('close', () => resolve(failure(BodyError.CutOff)))
	})
}
