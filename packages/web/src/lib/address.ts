/** Host and port as written in settings. */

/** A network address. @public */
export interface Address {
	readonly host: string
	readonly port: number
}

/** @returns the host and port of a `host:port` string. @public */
export function toAddress(text: string): Address {
	const colon = text.lastIndexOf(':')
	return { host: text.slice(0, colon), port: Number(text.slice(colon + 1)) }
}
