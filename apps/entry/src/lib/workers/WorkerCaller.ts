/** Passes callers' requests on to workers, and tells how an attempt ended. */
import { Agent, request as httpRequest, type ClientRequest, type IncomingMessage } from 'node:http'
import {
	Attempt,
	CallOutcome,
	WorkerCalls,
	type AttemptResult,
	type WorkerCall,
} from '@rillrudder/intake'
import { endToEndHeaders } from '@rillrudder/web'

const REFUSED_HEADER = 'rillrudder-refused'
const IDLE_SOCKETS = 8

/** Bytes that a worker's answer may have. @public */
export const MOST_ANSWER_BYTES = 4 * 1024 * 1024

/**
 * The client of all workers.
 *
 * @internal
 */
export class WorkerCaller extends WorkerCalls {
	private readonly agent: Agent

	/** @param connections - connections to one worker at most. */
	constructor(connections: number) {
		super()
		this.agent = new Agent({
			keepAlive: true,
			maxSockets: connections,
			maxFreeSockets: Math.min(connections, IDLE_SOCKETS),
			scheduling: 'lifo',
		})
	}

	override call(call: WorkerCall, ended: (result: AttemptResult) => void): Attempt {
		return new OpenAttempt(call, this.agent, ended)
	}

	/** Closes idle connections. */
	close(): void {
		this.agent.destroy()
	}
}

/** One attempt, from its first byte to its end. */
class OpenAttempt extends Attempt {
	private readonly request: ClientRequest
	private readonly timer: NodeJS.Timeout
	private over = false
	/** Whether a byte may have reached the worker. */
	private written = false

	constructor(
		call: WorkerCall,
		agent: Agent,
		private readonly ended: (result: AttemptResult) => void
	) {
		super()
		const colon = call.address.lastIndexOf(':')
		this.request = httpRequest({
			host: call.address.slice(0, colon),
			port: Number(call.address.slice(colon + 1)),
			method: call.method,
			path: call.path,
			headers: headerLists(call),
			agent,
		})
		this.request.on('socket', (socket) => {
			if (!socket.connecting) this.written = true
			else socket.once('connect', () => (this.written = true))
		})
		this.request.on('error', () => this.fail())
		this.request.on('response', (response) => this.read(response))
		this.timer = setTimeout(() => this.abandon(), call.timeout)
		this.request.end(call.body)
	}

	override abandon(): void {
		this.request.destroy()
		this.fail()
	}

	private fail(): void {
		this.finish({ end: this.written ? CallOutcome.Lost : CallOutcome.NotStarted, refusal: '' })
	}

	private read(response: IncomingMessage): void {
		const pieces: Buffer[] = []
		let length = 0
		response.on('data', (piece: Buffer) => {
			length += piece.length
			if (length <= MOST_ANSWER_BYTES) pieces.push(piece)
		})
		response.on('error', () => this.fail())
		response.on('close', () => this.fail())
		response.on('end', () => {
			if (!response.complete) this.fail()
			else if (length > MOST_ANSWER_BYTES) this.finish({ end: CallOutcome.TooLong, refusal: '' })
			else this.finish(readAnswer(response, Buffer.concat(pieces)))
		})
	}

	private finish(result: AttemptResult): void {
		if (this.over) return
		this.over = true
		clearTimeout(this.timer)
		this.ended(result)
	}
}

function readAnswer(response: IncomingMessage, body: Buffer): AttemptResult {
	const refusal = response.headers[REFUSED_HEADER]
	if (refusal !== undefined) return { end: CallOutcome.NotStarted, refusal: String(refusal) }
	const headers = endToEndHeaders(response.headers, new Set(['content-length']))
	const answer = { status: response.statusCode ?? 502, headers, body }
	return { end: CallOutcome.Answered, answer, refusal: '' }
}

function headerLists(call: WorkerCall): { [name: string]: string | string[] } {
	const lists: { [name: string]: string | string[] } = {}
	for (const { name, value } of call.headers) {
		const known = lists[name]
		if (known === undefined) lists[name] = value
		else lists[name] = Array.isArray(known) ? [...known, value] : [known, value]
	}
	lists['content-length'] = String(call.body.length)
	return lists
}
