/** A caller of the system, and what it was answered. */
import { Agent, request as httpRequest, type IncomingHttpHeaders } from 'node:http'

/** A call to make. @public */
export interface Call {
	/** Host and port of an entry instance. */
	readonly address: string
	readonly method: string
	readonly path: string
	readonly customer: string
	readonly key?: string
	readonly body?: string
	readonly timeout?: number
}

/** What came back. @public */
export interface CallResult {
	/** 0 when nothing came back. */
	readonly status: number
	/** `ran`, `not-run`, `unknown`, or empty when nothing came back. */
	readonly outcome: string
	readonly key: string
	readonly body: string
	/** Milliseconds until the whole answer was here. */
	readonly span: number
}

const AGENT = new Agent({ keepAlive: true, maxSockets: 512 })

/**
 * Makes a call.
 *
 * @param call - the call.
 * @param now - gives monotonic milliseconds.
 * @returns what came back; it never throws.
 * @public
 */
export function makeCall(call: Call, now: () => number): Promise<CallResult> {
	return new Promise((resolve) => {
		const begun = now()
		const [host, port] = call.address.split(':')
		const headers: { [name: string]: string } = { 'rillrudder-customer': call.customer }
		if (call.key !== undefined) headers['idempotency-key'] = call.key
		if (call.timeout !== undefined) headers['rillrudder-timeout'] = String(call.timeout)
		const { method, path } = call
		const request = httpRequest(
			{ host, port: Number(port), method, path, headers, agent: AGENT },
			(response) => {
				const pieces: Buffer[] = []
				response.on('data', (piece: Buffer) => pieces.push(piece))
				response.on('error', () => resolve(nothing(call, now() - begun)))
				response.on('end', () => {
					const body = Buffer.concat(pieces).toString()
					const status = response.statusCode ?? 0
					resolve({ status, body, span: now() - begun, ...named(response.headers) })
				})
			}
		)
		request.on('error', () => resolve(nothing(call, now() - begun)))
		request.end(call.body)
	})
}

function named(headers: IncomingHttpHeaders): { outcome: string; key: string } {
	return {
		outcome: String(headers['rillrudder-outcome'] ?? ''),
		key: String(headers['idempotency-key'] ?? ''),
	}
}

function nothing(call: Call, span: number): CallResult {
	return { status: 0, outcome: '', key: call.key ?? '', body: '', span }
}
