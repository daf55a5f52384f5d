/** Passes callers' requests on to workers, and tells how an attempt ended. */
import { Agent, request as httpRequest, type ClientRequest, type IncomingMessage } from 'node:http'
import type { Answer } from '@rillrudder/protocol'
import { endToEndHeaders, type PassedHeader } from '@rillrudder/web'

const REFUSED_HEADER = 'rillrudder-refused'
const IDLE_SOCKETS = 8

/** Bytes that a worker's answer may have. @public */
export const MOST_ANSWER_BYTES = 4 * 1024 * 1024

/** A request for a worker. @internal */
export interface WorkerCall {
	/** Host and port. */
	readonly address: string
	readonly method: string
	/** Path and query. */
	readonly path: string
	readonly headers: readonly PassedHeader[]
	readonly body: Buffer
	/** Milliseconds until the attempt is given up. */
	readonly timeout: number
}

/** How an attempt ended. @internal */
export const End = {
	/** The whole answer is here. */
	Answered: 'answered',
	/** The worker refused it before it started, or was never reached. */
	NotStarted: 'not-started',
	/** It was written, and no whole answer came. */
	Lost: 'lost',
	/** The worker ran it, and its answer is longer than can be kept. */
	TooLong: 'too-long',
} as const
/** One of the ends. @internal */
export type End = (typeof End)[keyof typeof End]

/** The end of an attempt. @internal */
export interface AttemptResult {
	readonly end: End
	readonly answer?: Answer
	/** Why the worker refused it; empty when it did not. */
	readonly refusal: string
}

/** An attempt under way. @internal */
export interface Attempt {
	readonly result: Promise<AttemptResult>
	/** Gives it up. */
	abandon(): void
}

/**
 * The client of all workers.
 *
 * @internal
 */
export class WorkerCaller {
	private readonly agent: Agent

	/** @param connections - connections to one worker at most. */
	constructor(connections: number) {
		this.agent = new Agent({
			keepAlive: true,
			maxSockets: connections,
			maxFreeSockets: Math.min(connections, IDLE_SOCKETS),
			scheduling: 'lifo',
		})
	}

	/** Starts an attempt. */
	call(call: WorkerCall): Attempt {
		const attempt = new OpenAttempt(call, this.agent)
		return { result: attempt.result, abandon: () => attempt.abandon() }
	}

	/** Closes idle connections. */
	close(): void {
		this.agent.destroy()
	}
}

/** One attempt, from its first byte to its end. */
class OpenAttempt {
	readonly result: Promise<AttemptResult>
	private readonly request: ClientRequest
	private readonly timer: NodeJS.Timeout
	private resolve!: (result: AttemptResult) => void
	/** Whether a byte may have reached the worker. */
	private written = false

	constructor(call: WorkerCall, agent: Agent) {
		this.result = new Promise((resolve) => (this.resolve = resolve))
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

	abandon(): void {
		this.request.destroy()
		this.fail()
	}

	private fail(): void {
		this.finish({ end: this.written ? End.Lost : End.NotStarted, refusal: '' })
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
			else if (length > MOST_ANSWER_BYTES) this.finish({ end: End.TooLong, refusal: '' })
			else this.finish(readAnswer(response, Buffer.concat(pieces)))
		})
	}

	private finish(result: AttemptResult): void {
		clearTimeout(this.timer)
		this.resolve(result)
	}
}

function readAnswer(response: IncomingMessage, body: Buffer): AttemptResult {
	const refusal = response.headers[REFUSED_HEADER]
	if (refusal !== undefined) return { end: End.NotStarted, refusal: String(refusal) }
	const headers = endToEndHeaders(response.headers, new Set(['content-length']))
	const answer = { status: response.statusCode ?? 502, headers, body }
	return { end: End.Answered, answer, refusal: '' }
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
