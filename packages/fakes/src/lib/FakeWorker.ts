/** A worker as an HTTP server, around the model of what it does. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { TaskExchange, WorkerModel } from './WorkerModel'

/** Path of the exchange about tasks. @public */
export const TASKS_PATH = '/rillrudder/tasks'
/** Path that tells how an attempt ended. @public */
export const SETTLE_PATH = '/rillrudder/settle'

/**
 * A worker that listens on loopback.
 *
 * @public
 */
export class FakeWorker {
	private readonly server: Server
	private connections = 0
	/** The most connections that were open at once. */
	mostConnections = 0

	/** @param model - what it does. */
	constructor(readonly model: WorkerModel) {
		this.server = createServer((request, response) => this.handle(request, response))
		this.server.keepAliveTimeout = 60_000
		this.server.on('connection', (socket) => {
			this.connections += 1
			this.mostConnections = Math.max(this.mostConnections, this.connections)
			socket.on('close', () => (this.connections -= 1))
		})
	}

	/** @returns its address, host and port. */
	async listen(port = 0): Promise<string> {
		await new Promise<void>((resolve) => this.server.listen(port, '127.0.0.1', resolve))
		return `127.0.0.1:${(this.server.address() as AddressInfo).port}`
	}

	/** Stops at once, as a killed process does. */
	close(): void {
		this.model.stop()
		this.server.closeAllConnections()
		this.server.close()
	}

	private handle(request: IncomingMessage, response: ServerResponse): void {
		const pieces: Buffer[] = []
		request.on('data', (piece: Buffer) => pieces.push(piece))
		request.on('end', () => this.answer(request, Buffer.concat(pieces), response))
	}

	private answer(request: IncomingMessage, body: Buffer, response: ServerResponse): void {
		if (request.url === TASKS_PATH) {
			const reply = this.model.exchange(JSON.parse(body.toString()) as TaskExchange)
			if (this.model.settings.silent) return
			response.writeHead(reply ? 200 : 409, { 'content-type': 'application/json' })
			response.end(JSON.stringify(reply ?? {}))
		} else if (request.url === SETTLE_PATH) {
			const { customer, key, fence } = JSON.parse(body.toString())
			if (this.model.settings.silent) return
			response.writeHead(200, { 'content-type': 'application/json' })
			response.end(JSON.stringify(this.model.settle(customer, key, fence)))
		} else {
			this.run(request, body, response)
		}
	}

	private run(request: IncomingMessage, body: Buffer, response: ServerResponse): void {
		const { headers } = request
		const work = {
			customer: String(headers['rillrudder-customer'] ?? ''),
			key: String(headers['idempotency-key'] ?? ''),
			fence: Number(headers['rillrudder-fence'] ?? 0),
			repeatable: headers['rillrudder-repeatable'] === 'true',
			body,
		}
		this.model.request(work, (answer) => {
			const extra = answer.refused ? { 'rillrudder-refused': answer.refused } : {}
			response.writeHead(answer.status, { 'content-type': 'application/json', ...extra })
			response.end(answer.body)
		})
	}
}
