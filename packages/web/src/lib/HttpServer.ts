/** An HTTP server with JSON responses and a graceful shutdown. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Address } from './address'
import { readBody } from './readBody'

/** Maximum size of a request body; the largest are configurations with hundreds of queues. */
const MAX_BODY_BYTES = 4 * 1024 * 1024
/** How long an idle connection is kept open; clients are expected to close theirs earlier. */
const IDLE_TIMEOUT_MS = 20_000

const JSON_TYPE = 'application/json'

/** A response; a string body is sent unchanged, any other as JSON. @public */
export interface HttpServerResponse {
	readonly status: number
	readonly body?: unknown
	readonly headers?: { readonly [name: string]: string }
}

/** A request whose body was read completely. @public */
export interface HttpServerRequest {
	readonly method: string
	readonly host: string
	/** Path without the query string. */
	readonly path: string
	readonly headers: IncomingMessage['headers']
	readonly query: URLSearchParams
	readonly body: Buffer
	/** Whether the client has closed the connection and can no longer receive a response. */
	readonly isAbandoned: () => boolean
}

/**
 * An HTTP server that can be drained before it closes.
 *
 * @public
 */
export class HttpServer {
	private readonly server: Server
	private inFlightCount = 0
	private closing = false

	/** @param handle - returns the response to a request; a rejection is answered with status 500. */
	constructor(private readonly handle: (call: HttpServerRequest) => Promise<HttpServerResponse>) {
		this.server = createServer((request, response) => void this.serve(request, response))
		this.server.keepAliveTimeout = IDLE_TIMEOUT_MS
	}

	/** Number of requests in flight. */
	get inFlight(): number {
		return this.inFlightCount
	}

	/** Starts listening; rejects if the address cannot be bound. */
	listen({ host, port }: Address): Promise<void> {
		return new Promise((resolve, reject) => {
			this.server.once('error', reject)
			this.server.listen(port, host, () => resolve())
		})
	}

	/** Moves clients to other instances: every further response closes its connection. */
	startDraining(): void {
		this.closing = true
	}

	/** Stops accepting connections and closes the idle ones. */
	close(): void {
		this.closing = true
		this.server.close()
		this.server.closeIdleConnections()
	}

	private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
		this.inFlightCount += 1
		try {
			const body = await readBody(request, MAX_BODY_BYTES)
			if (!body.ok) {
				this.answer(response, { status: 413, body: { error: body.error } })
				return
			}
			const { method = '', url = '', headers } = request
			const host = (headers.host ?? '').split(':')[0]
			const [path, search = ''] = url.split('?')
			const query = new URLSearchParams(search)
			const isAbandoned = (): boolean => response.destroyed
			const call = { method, host, path, query, headers, body: body.value, isAbandoned }
			this.answer(response, await this.handle(call))
		} catch (fault) {
			this.answer(response, { status: 500, body: { error: (fault as Error).message } })
		} finally {
			this.inFlightCount -= 1
		}
	}

	private answer(response: ServerResponse, { status, body, headers }: HttpServerResponse): void {
		if (response.destroyed || response.headersSent) return
		const text = body === undefined ? '' : typeof body === 'string' ? body : JSON.stringify(body)
		response.writeHead(status, {
			...(text === '' ? {} : { 'content-type': JSON_TYPE }),
			'content-length': Buffer.byteLength(text),
			...(this.closing ? { connection: 'close' } : {}),
			...headers,
		})
		response.end(text)
	}
}
