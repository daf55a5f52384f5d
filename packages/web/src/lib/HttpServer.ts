/** An HTTP server with JSON answers, and a planned stop that cuts nothing off. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Address } from './address'
import { readBody } from './readBody'

/** Bytes that a body may have; the largest are configurations with hundreds of queues. */
const MOST_BODY_BYTES = 4 * 1024 * 1024
/** Milliseconds for which an idle connection is kept; clients are expected to close theirs earlier. */
const IDLE = 20_000

const JSON_TYPE = 'application/json'

/** An answer; a text is sent as it is, anything else as JSON. @public */
export interface HttpServerResponse {
	readonly status: number
	readonly body?: unknown
	readonly headers?: { readonly [name: string]: string }
}

/** A call that was read whole. @public */
export interface HttpServerRequest {
	readonly method: string
	readonly host: string
	/** Path without a query. */
	readonly path: string
	readonly headers: IncomingMessage['headers']
	readonly query: URLSearchParams
	readonly body: Buffer
	/** Whether its caller has closed the connection, and so gets no answer any more. */
	readonly isAbandoned: () => boolean
}

/**
 * A server.
 *
 * @public
 */
export class HttpServer {
	private readonly server: Server
	private inFlightCount = 0
	private closing = false

	/** @param handle - answers a call; a rejection is a fault and answered 500. */
	constructor(private readonly handle: (call: HttpServerRequest) => Promise<HttpServerResponse>) {
		this.server = createServer((request, response) => void this.serve(request, response))
		this.server.keepAliveTimeout = IDLE
	}

	/** How many calls are being answered. */
	get inFlight(): number {
		return this.inFlightCount
	}

	/** Listens. */
	listen({ host, port }: Address): Promise<void> {
		return new Promise((resolve, reject) => {
			this.server.once('error', reject)
			this.server.listen(port, host, () => resolve())
		})
	}

	/** Asks clients to go elsewhere: each further answer closes its connection. */
	startDraining(): void {
		this.closing = true
	}

	/** Takes no more connections, and closes the idle ones. */
	close(): void {
		this.closing = true
		this.server.close()
		this.server.closeIdleConnections()
	}

	private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
		this.inFlightCount += 1
		try {
			const body = await readBody(request, MOST_BODY_BYTES)
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
