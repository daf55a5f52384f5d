/** The callers' HTTP server: reads requests whole, within bounds, and hands them on. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { Outcome } from '@rillrudder/cell'
import type { Endpoint } from '@rillrudder/settings'
import { Metric, type Metrics } from '@rillrudder/telemetry'
import type { Clock } from '@rillrudder/utils'
import { BodyFault, readBody } from '@rillrudder/web'
import { HttpRequest } from './HttpRequest'
import { readTerms } from './readTerms'

const MOST_BODY_BYTES = 1024 * 1024
const MOST_HEADER_BYTES = 16 * 1024
const HEALTH_PATH = '/rillrudder/health'
const HEADERS_TIMEOUT = 10_000
const REQUEST_TIMEOUT = 30_000
const KEEP_ALIVE = 75_000
const LOOK_EVERY = 20

/** What a server works with. @internal */
export interface CallerServerParts {
	readonly listen: Endpoint
	readonly clock: Clock
	readonly metrics: Metrics
	/** Whether the balancer should send requests here. */
	readonly healthy: () => boolean
	readonly take: (request: HttpRequest) => void
}

/**
 * The callers' HTTP server.
 *
 * @internal
 */
export class CallerServer {
	private readonly server: Server
	private inFlight = 0
	private closing = false

	constructor(private readonly parts: CallerServerParts) {
		this.server = createServer({ maxHeaderSize: MOST_HEADER_BYTES }, (request, response) => {
			void this.handle(request, response)
		})
		this.server.headersTimeout = HEADERS_TIMEOUT
		this.server.requestTimeout = REQUEST_TIMEOUT
		this.server.keepAliveTimeout = KEEP_ALIVE
	}

	/** @returns the port. */
	async start(): Promise<number> {
		const { host, port } = this.parts.listen
		await new Promise<void>((resolve, reject) => {
			this.server.once('error', reject)
			this.server.listen(port, host, resolve)
		})
		return (this.server.address() as AddressInfo).port
	}

	/** Tells keep-alive callers to go elsewhere with their next request. */
	beginClosing(): void {
		this.closing = true
	}

	/** Takes no new connection; resolves once every request has its answer. */
	async finish(): Promise<void> {
		this.server.close()
		this.server.closeIdleConnections()
		while (this.inFlight > 0) {
			await new Promise<void>((resolve) => this.parts.clock.after(LOOK_EVERY, () => resolve()))
		}
		this.server.closeAllConnections()
	}

	/** Cuts everything, as a killed process does. */
	halt(): void {
		this.server.close()
		this.server.closeAllConnections()
	}

	private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		if (request.url === HEALTH_PATH) return this.answerHealth(response)
		this.inFlight += 1
		response.once('close', () => (this.inFlight -= 1))
		if (this.closing) response.setHeader('connection', 'close')
		const body = await readBody(request, MOST_BODY_BYTES)
		if (!body.ok) return this.refuseBody(body.error, response)
		const terms = readTerms(request.method ?? 'GET', request.headers)
		if (!terms.ok) return refuseInput(response, 400, 'malformed', terms.error)
		const { metrics, clock } = this.parts
		metrics.count(Metric.RequestsIn)
		const arrived = clock.now()
		const done = (outcome: Outcome): void => {
			metrics.count(Metric.RequestsOut, 1, outcome)
			metrics.timing(Metric.RequestTime, clock.now() - arrived)
		}
		this.parts.take(new HttpRequest(request, response, terms.value, body.value, arrived, done))
	}

	private answerHealth(response: ServerResponse): void {
		const healthy = this.parts.healthy()
		response.writeHead(healthy ? 200 : 503, { 'content-type': 'text/plain' })
		response.end(healthy ? 'ok\n' : 'stopping\n')
	}

	private refuseBody(fault: BodyFault, response: ServerResponse): void {
		if (fault === BodyFault.CutOff) {
			response.destroy()
			return
		}
		response.setHeader('connection', 'close')
		refuseInput(response, 413, 'body-too-long', `the body is longer than ${MOST_BODY_BYTES} bytes`)
	}
}

/** A request that could not even be read: certainly not run. */
function refuseInput(response: ServerResponse, status: number, type: string, detail: string) {
	const outcome = Outcome.NotRun
	const title = detail
	const body = JSON.stringify({ type: `urn:rillrudder:problem:${type}`, title, status, outcome })
	response.writeHead(status, {
		'content-type': 'application/problem+json',
		'rillrudder-outcome': outcome,
	})
	response.end(body)
}
