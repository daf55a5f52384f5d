/** Host and port as written in settings and heartbeats. */

const MAX_PORT = 65_535
/** A host name or an IPv4 address, and a port. */
const ADDRESS = /^[A-Za-z0-9][A-Za-z0-9._-]*:(\d{1,5})$/

/** A network address. @public */
export interface Address {
	readonly host: string
	readonly port: number
}

/** @returns whether a text is a `host:port` that a request can be sent to. @public */
export function isAddress(text: string): boolean {
	const port = Number(ADDRESS.exec(text)?.[1] ?? 0)
	return port >= 1 && port <= MAX_PORT
}

/** @returns the host and port of a `host:port` string. @public */
export function toAddress(text: string): Address {
	const colon = text.lastIndexOf(':')
	return { host: text.slice(0, colon), port: Number(text.slice(colon + 1)) }
}
