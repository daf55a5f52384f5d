/** A worker's answer as it is stored in the log. */
import { Buffer } from 'node:buffer'
import { z } from 'zod'
import type { Answer } from '@rillrudder/protocol'

/** The schema of a stored answer; the body is base64. @public */
export const storedAnswerSchema = z.object({
	status: z.number().int(),
	headers: z.array(z.object({ name: z.string(), value: z.string() })),
	body: z.string(),
})

/** A stored answer. @public */
export type StoredAnswer = z.infer<typeof storedAnswerSchema>

/**
 * @param answer - an answer from a message.
 * @returns the answer as stored in the log.
 * @public
 */
export function toStoredAnswer(answer: Answer): StoredAnswer {
	const { status, headers, body } = answer
	return { status, headers, body: body.toString('base64') }
}

/**
 * @param stored - an answer from the log.
 * @returns the answer as sent in a message.
 * @public
 */
export function toAnswer(stored: StoredAnswer): Answer {
	const { status, headers, body } = stored
	return { status, headers, body: Buffer.from(body, 'base64') }
}
