/** HTTP requests with JSON bodies in both directions, using Node's HTTP client. */
import {
	request as plainRequest,
	type Agent,
	type ClientRequest,
	type RequestOptions,
} from 'node:http'
import { request as secureRequest } from 'node:https'
import { failure, success, type Result } from '@rillrudder/utils'
import { parseJson } from './parseJson'

const MAX_RESPONSE_BYTES = 64 * 1024 * 1024
const TIMEOUT_MESSAGE = 'no answer in time'

/** A request and its connection options. @public */
export interface JsonRequest {
	readonly host: string
	readonly port: number
	readonly method: string
	readonly path: string
	readonly body?: unknown
	/** Milliseconds until the request is aborted. */
	readonly timeout: number
	readonly headers?: { readonly [name: string]: string }
	readonly agent?: Agent
	/** Certificates for TLS; plain HTTP is used if absent. */
	readonly tls?: { readonly ca: Buffer; readonly cert?: Buffer; readonly key?: Buffer }
}

/** A response that was received completely. @public */
export interface JsonResponse {
	readonly status: number
	/** The parsed body; undefined if it is empty, not valid JSON or not UTF-8. */
	readonly body: unknown
}

/** Why a request got no response. @public */
export interface RequestError {
	readonly message: string
}

/** A request that was created but not sent. */
interface OpenRequest {
	readonly request: ClientRequest
	readonly text: Buffer | undefined
}

/**
 * Sends a request.
 *
 * @param call - the request. Its parts may come from outside and be unusable.
 * @returns the response, or why there is none. The promise never rejects.
 * @example
 * ```ts
 * const reply = await requestJson({ host, port, method: 'GET', path: '/v1/status', timeout: 2000 })
 * ```
 * @public
 */
export function requestJson(call: JsonRequest): Promise<Result<JsonResponse, RequestError>> {
	const opened = open(call)
	if (!opened.ok) return Promise.resolve(opened)
	const { request, text } = opened.value
	return new Promise((resolve) => {
		const settle = (result: Result<JsonResponse, RequestError>): void => {
			clearTimeout(limit)
			resolve(result)
		}
		request.on('response', (response) => {
			const pieces: Buffer[] = []
			let length = 0
			response.on('data', (piece: Buffer) => {
				length += piece.length
				if (length > MAX_RESPONSE_BYTES) request.destroy(new Error('the reply is too long'))
				else pieces.push(piece)
			})
			response.on('error', (fault) => settle(failure({ message: fault.message })))
			response.on('end', () => {
				const status = response.statusCode ?? 0
				settle(success({ status, body: parseJson(Buffer.concat(pieces)) }))
			})
		})
		request.on('error', (fault) => settle(failure({ message: fault.message })))
		// A timer costs a fraction of an abort signal, which leaves garbage and a finalizer behind.
		const limit = setTimeout(() => request.destroy(new Error(TIMEOUT_MESSAGE)), call.timeout)
		request.end(text)
	})
}

/** Node throws at once for a host, port, path or header that cannot be sent. */
function open(call: JsonRequest): Result<OpenRequest, RequestError> {
	const { host, port, method, path, agent, body, tls } = call
	try {
		const text = body === undefined ? undefined : Buffer.from(JSON.stringify(body))
		const headers = {
			...call.headers,
			...(text ? { 'content-type': 'application/json', 'content-length': text.length } : {}),
		}
		const options: RequestOptions = { host, port, method, path, agent, headers }
		const request = tls ? secureRequest({ ...options, ...tls }) : plainRequest(options)
		return success({ request, text })
	} catch (fault) {
		return failure({ message: (fault as Error).message })
	}
}
