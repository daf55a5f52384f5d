/** Which headers belong to one hop and are never passed on (RFC 9110, section 7.6.1). */
import type { IncomingHttpHeaders } from 'node:http'

const HOP_BY_HOP = new Set([
	'connection',
	'keep-alive',
	'proxy-authenticate',
	'proxy-authorization',
	'proxy-connection',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade',
])

/** A header that is passed on. @public */
export interface EndToEndHeader {
	readonly name: string
	readonly value: string
}

/**
 * @param headers - headers as they came.
 * @param dropped - further names, in lower case, that are not passed on.
 * @returns the headers for the next hop: without those of this hop and those that `Connection` names.
 * @public
 */
export function endToEndHeaders(
	headers: IncomingHttpHeaders,
	dropped: ReadonlySet<string> = new Set()
): EndToEndHeader[] {
	const named = new Set(
		String(headers.connection ?? '')
			.split(',')
			.map((name) => name.trim().toLowerCase())
	)
	const passed: EndToEndHeader[] = []
	for (const [name, value] of Object.entries(headers)) {
		if (value === undefined || HOP_BY_HOP.has(name) || named.has(name) || dropped.has(name))
			continue
		for (const one of Array.isArray(value) ? value : [value]) passed.push({ name, value: one })
	}
	return passed
}
