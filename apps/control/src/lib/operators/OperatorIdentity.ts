/** Who an operator is: by certificate, by token, or on plain loopback by their own word. */
import { timingSafeEqual } from 'node:crypto'
import { readFileSync } from 'node:fs'
import type { IncomingMessage } from 'node:http'
import type { TLSSocket } from 'node:tls'

const NAME_HEADER = 'rillrudder-operator'
const UNNAMED = 'unnamed'
const BEARER = /^Bearer (.+)$/

interface Token {
	readonly name: string
	readonly token: Buffer
}

/**
 * Tells who makes a call.
 *
 * @internal
 */
export class OperatorIdentity {
	private readonly tokens: readonly Token[]

	/**
	 * @param tokenFile - lines of `name: token`, or undefined for no tokens.
	 * @param secure - whether certificates are shown.
	 */
	constructor(
		tokenFile: string | undefined,
		private readonly secure: boolean
	) {
		this.tokens = tokenFile === undefined ? [] : readTokens(readFileSync(tokenFile, 'utf8'))
	}

	/** Whether everybody on loopback is believed. */
	get open(): boolean {
		return !this.secure && this.tokens.length === 0
	}

	/** @returns the operator's name, or undefined when the call is not theirs to make. */
	nameOf(request: IncomingMessage): string | undefined {
		if (this.tokens.length > 0) return this.byToken(request)
		if (this.secure) return commonName(request)
		return String(request.headers[NAME_HEADER] ?? UNNAMED)
	}

	private byToken(request: IncomingMessage): string | undefined {
		const given = Buffer.from(BEARER.exec(request.headers.authorization ?? '')?.[1] ?? '')
		const match = this.tokens.find(
			({ token }) => token.length === given.length && timingSafeEqual(token, given)
		)
		return match?.name
	}
}

function readTokens(text: string): Token[] {
	return text
		.split('\n')
		.map((line) => /^\s*([^#:\s][^:]*):\s*(\S+)\s*$/.exec(line))
		.flatMap((match) => (match ? [{ name: match[1].trim(), token: Buffer.from(match[2]) }] : []))
}

function commonName(request: IncomingMessage): string | undefined {
	const { CN } = (request.socket as TLSSocket).getPeerCertificate().subject ?? {}
	return Array.isArray(CN) ? CN[0] : CN
}
