/** Calls that carry JSON both ways, by Node's own client. */
import { request as plainRequest, type Agent, type RequestOptions } from 'node:http'
import { request as secureRequest } from 'node:https'
import { failure, success, type Result } from '@rillrudder/utils'

const MOST_REPLY_BYTES = 64 * 1024 * 1024
const NO_ANSWER = 'no answer in time'

/** A call. @public */
export interface JsonRequest {
	readonly host: string
	readonly port: number
	readonly method: string
	readonly path: string
	readonly body?: unknown
	/** Milliseconds until the call is given up. */
	readonly timeout: number
	readonly headers?: { readonly [name: string]: string }
	readonly agent?: Agent
	/** Certificates for a call by TLS. */
	readonly tls?: { readonly ca: Buffer; readonly cert?: Buffer; readonly key?: Buffer }
}

/** A reply that came whole. @public */
export interface JsonResponse {
	readonly status: number
	/** The parsed body; undefined when it was empty or no JSON. */
	readonly body: unknown
}

/** Why there is no reply. @public */
export interface RequestError {
	readonly message: string
}

/**
 * Makes a call.
 *
 * @param call - the call.
 * @returns the reply, or why there is none. It never throws.
 * @example
 * ```ts
 * const reply = await requestJson({ host, port, method: 'GET', path: '/v1/status', timeout: 2000 })
 * ```
 * @public
 */
export function requestJson(call: JsonRequest): Promise<Result<JsonResponse, RequestError>> {
	return new Promise((resolve) => {
		const settle = (result: Result<JsonResponse, RequestError>): void => {
			clearTimeout(limit)
			resolve(result)
		}
		const text = call.body === undefined ? undefined : Buffer.from(JSON.stringify(call.body))
		const { host, port, method, path, agent, timeout } = call
		const headers = {
			...call.headers,
			...(text ? { 'content-type': 'application/json', 'content-length': text.length } : {}),
		}
		const options: RequestOptions = { host, port, method, path, agent, headers }
		const send = call.tls ? secureRequest : plainRequest
		const request = send({ ...options, ...call.tls }, (response) => {
			const pieces: Buffer[] = []
			let length = 0
			response.on('data', (piece: Buffer) => {
				length += piece.length
				if (length > MOST_REPLY_BYTES) request.destroy(new Error('the reply is too long'))
				else pieces.push(piece)
			})
			response.on('error', (fault) => settle(failure({ message: fault.message })))
			response.on('end', () => {
				const status = response.statusCode ?? 0
				settle(success({ status, body: parse(Buffer.concat(pieces)) }))
			})
		})
		request.on('error', (fault) => settle(failure({ message: fault.message })))
		// A timer of its own costs a fraction of an abort signal, which leaves garbage and a finalizer behind.
		const limit = setTimeout(() => request.destroy(new Error(NO_ANSWER)), timeout)
		request.end(text)
	})
}

function parse(text: Buffer): unknown {
	if (text.length === 0) return undefined
	try {
		return JSON.parse(text.toString())
	} catch {
		return undefined
	}
}
