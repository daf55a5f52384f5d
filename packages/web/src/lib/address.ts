/** Host and port, as settings write them. */

/** Host and port. @public */
export interface Address {
	readonly host: string
	readonly port: number
}

/** @returns the parts of `host:port`. @public */
export function toAddress(text: string): Address {
	const colon = text.lastIndexOf(':')
	return { host: text.slice(0, colon), port: Number(text.slice(colon + 1)) }
}
