/** Parses JSON bodies, which are UTF-8 (RFC 8259, section 8.1). */
import { isUtf8 } from 'node:buffer'

/**
 * @param body - the bytes of a message body.
 * @returns the parsed value; undefined if the body is empty, not JSON or not UTF-8.
 * @public
 */
export function parseJson(body: Buffer): unknown {
	// Decoding would replace invalid bytes by other characters.
	if (body.length === 0 || !isUtf8(body)) return undefined
	try {
		return JSON.parse(body.toString())
	} catch {
		return undefined
	}
}
