/** A worker's answer as it is kept in the log. */
import { Buffer } from 'node:buffer'
import { z } from 'zod'
import type { Answer } from '@rillrudder/protocol'

/** The schema of a kept answer; the body is base64. @public */
export const keptAnswerSchema = z.object({
	status: z.number().int(),
	headers: z.array(z.object({ name: z.string(), value: z.string() })),
	body: z.string(),
})

/** A kept answer. @public */
export type KeptAnswer = z.infer<typeof keptAnswerSchema>

/**
 * @param answer - an answer from a message.
 * @returns the same for the log.
 * @public
 */
export function keepAnswer(answer: Answer): KeptAnswer {
	const { status, headers, body } = answer
	return { status, headers, body: body.toString('base64') }
}

/**
 * @param kept - an answer from the log.
 * @returns the same for a message.
 * @public
 */
export function restoreAnswer(kept: KeptAnswer): Answer {
	const { status, headers, body } = kept
	return { status, headers, body: Buffer.from(body, 'base64') }
}
