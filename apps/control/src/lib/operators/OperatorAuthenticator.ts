/** Identifies operators by certificate, by token, or on plain loopback by an unverified header. */
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
 * Identifies the operator who makes a call.
 *
 * @internal
 */
export class OperatorAuthenticator {
	private readonly tokens: readonly Token[]

	/**
	 * @param tokenFile - file with one `name: token` per line, or undefined for no tokens.
	 * @param usesTls - whether operators present certificates.
	 */
	constructor(
		tokenFile: string | undefined,
		private readonly usesTls: boolean
	) {
		this.tokens = tokenFile === undefined ? [] : readTokens(readFileSync(tokenFile, 'utf8'))
	}

	/** Whether names are accepted without verification. */
	get isOpen(): boolean {
		return !this.usesTls && this.tokens.length === 0
	}

	/** @returns the operator's name, or undefined if the caller is not authorized. */
	nameOf(request: IncomingMessage): string | undefined {
		if (this.tokens.length > 0) return this.nameByToken(request)
		if (this.usesTls) return commonName(request)
		return String(request.headers[NAME_HEADER] ?? UNNAMED)
	}

	private nameByToken(request: IncomingMessage): string | undefined {
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
