/** The callers' HTTP server: reads complete requests within size limits and passes them on. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { Outcome } from '@rillrudder/cell'
import type { Endpoint } from '@rillrudder/settings'
import { Metric, type Metrics } from '@rillrudder/telemetry'
import type { Clock } from '@rillrudder/utils'
import { BodyError, readBody } from '@rillrudder/web'
import { HttpRequest } from './HttpRequest'
import { parseRequestOptions } from './parseRequestOptions'

const MAX_BODY_BYTES = 1024 * 1024
const MAX_HEADER_BYTES = 16 * 1024
const HEALTH_PATH = '/rillrudder/health'
const HEADERS_TIMEOUT_MS = 10_000
const REQUEST_TIMEOUT_MS = 30_000
const KEEP_ALIVE_MS = 75_000
const POLL_INTERVAL_MS = 20

/** Dependencies of `CallerServer`. @internal */
export interface CallerServerParts {
	readonly listen: Endpoint
	readonly clock: Clock
	readonly metrics: Metrics
	/** Whether load balancers should send requests to this instance. */
	readonly isHealthy: () => boolean
	readonly handleRequest: (request: HttpRequest) => void
}

/**
 * The callers' HTTP server.
 *
 * @internal
 */
export class CallerServer {
	private readonly server: Server
	private inFlight = 0
	private isClosing = false

	constructor(private readonly parts: CallerServerParts) {
		this.server = createServer({ maxHeaderSize: MAX_HEADER_BYTES }, (request, response) => {
			void this.handle(request, response)
		})
		this.server.headersTimeout = HEADERS_TIMEOUT_MS
		this.server.requestTimeout = REQUEST_TIMEOUT_MS
		this.server.keepAliveTimeout = KEEP_ALIVE_MS
	}

	/** Starts listening. @returns the port. */
	async start(): Promise<number> {
		const { host, port } = this.parts.listen
		await new Promise<void>((resolve, reject) => {
			this.server.once('error', reject)
			this.server.listen(port, host, resolve)
		})
		return (this.server.address() as AddressInfo).port
	}

	/** Makes responses close their connection, so that keep-alive callers reconnect elsewhere. */
	startClosing(): void {
		this.isClosing = true
	}

	/** Stops accepting connections; resolves once every request in flight is answered. */
	async drain(): Promise<void> {
		this.server.close()
		this.server.closeIdleConnections()
		while (this.inFlight > 0) {
			await new Promise<void>((resolve) =>
				this.parts.clock.after(POLL_INTERVAL_MS, () => resolve())
			)
		}
		this.server.closeAllConnections()
	}

	/** Closes all connections abruptly, like a killed process. */
	halt(): void {
		this.server.close()
		this.server.closeAllConnections()
	}

	private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		if (request.url === HEALTH_PATH) return this.answerHealth(response)
		this.inFlight += 1
		response.once('close', () => (this.inFlight -= 1))
		if (this.isClosing) response.setHeader('connection', 'close')
		const body = await readBody(request, MAX_BODY_BYTES)
		if (!body.ok) return this.refuseBody(body.error, response)
		const options = parseRequestOptions(request.method ?? 'GET', request.headers)
		if (!options.ok) return sendInputError(response, 400, 'malformed', options.error)
		const { metrics, clock } = this.parts
		metrics.count(Metric.RequestsIn)
		const arrivedAt = clock.now()
		const onAnswered = (outcome: Outcome): void => {
			metrics.count(Metric.RequestsOut, 1, outcome)
			metrics.timing(Metric.RequestTime, clock.now() - arrivedAt)
		}
		this.parts.handleRequest(
			new HttpRequest(request, response, options.value, body.value, arrivedAt, onAnswered)
		)
	}

	private answerHealth(response: ServerResponse): void {
		const isHealthy = this.parts.isHealthy()
		response.writeHead(isHealthy ? 200 : 503, { 'content-type': 'text/plain' })
		response.end(isHealthy ? 'ok\n' : 'stopping\n')
	}

	private refuseBody(fault: BodyError, response: ServerResponse): void {
		if (fault === BodyError.CutOff) {
			response.destroy()
			return
		}
		response.setHeader('connection', 'close')
		sendInputError(
			response,
			413,
			'body-too-long',
			`the body is longer than ${MAX_BODY_BYTES} bytes`
		)
	}
}

/** Answers a request that could not be read, and therefore was certainly not run. */
function sendInputError(response: ServerResponse, status: number, type: string, detail: string) {
	const outcome = Outcome.NotRun
	const title = detail
	const body = JSON.stringify({ type: `urn:rillrudder:problem:${type}`, title, status, outcome })
	response.writeHead(status, {
		'content-type': 'application/problem+json',
		'rillrudder-outcome': outcome,
	})
	response.end(body)
}
