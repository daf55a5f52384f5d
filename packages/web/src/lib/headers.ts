/** Removes hop-by-hop headers, which are never forwarded (RFC 9110, section 7.6.1). */
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

/** A header that is forwarded to the next hop. @public */
export interface EndToEndHeader {
	readonly name: string
	readonly value: string
}

/**
 * @param headers - the headers as received.
 * @param dropped - further header names, in lower case, to remove.
 * @returns the headers to forward, without hop-by-hop headers and those named in `Connection`.
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
