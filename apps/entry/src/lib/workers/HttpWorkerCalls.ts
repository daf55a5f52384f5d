/** Forwards callers' requests to workers over HTTP, and reports the result of each attempt. */
import { Agent, request as httpRequest, type ClientRequest, type IncomingMessage } from 'node:http'
import {
	Attempt,
	CallOutcome,
	WorkerCalls,
	type AttemptResult,
	type WorkerCall,
} from '@rillrudder/intake'
import { endToEndHeaders, toAddress } from '@rillrudder/web'

const REFUSED_HEADER = 'rillrudder-refused'
const MAX_IDLE_SOCKETS = 8
/** Lower statuses are interim, or none that can be sent. */
const MIN_FINAL_STATUS = 200
const BAD_GATEWAY = 502

/** Maximum size of a worker's response body in bytes. @public */
export const MAX_ANSWER_BYTES = 4 * 1024 * 1024

/**
 * HTTP client for all workers.
 *
 * @internal
 */
export class HttpWorkerCalls extends WorkerCalls {
	private readonly agent: Agent

	/** @param connections - maximum number of connections to one worker. */
	constructor(connections: number) {
		super()
		this.agent = new Agent({
			keepAlive: true,
			maxSockets: connections,
			maxFreeSockets: Math.min(connections, MAX_IDLE_SOCKETS),
			scheduling: 'lifo',
		})
	}

	override call(call: WorkerCall, onEnd: (result: AttemptResult) => void): Attempt {
		const request = open(call, this.agent)
		return request ? new HttpAttempt(call, request, onEnd) : new UnsentAttempt(onEnd)
	}

	/** Closes idle connections. */
	close(): void {
		this.agent.destroy()
	}
}

/** @returns a request that is not sent yet; undefined if Node refuses to create it. */
function open(call: WorkerCall, agent: Agent): ClientRequest | undefined {
	const { method, path } = call
	try {
		return httpRequest({
			...toAddress(call.address),
			method,
			path,
			headers: toHeaders(call),
			agent,
		})
	} catch {
		return undefined
	}
}

/** A request that cannot be sent. */
class UnsentAttempt extends Attempt {
	constructor(onEnd: (result: AttemptResult) => void) {
		super()
		setImmediate(() => onEnd({ end: CallOutcome.NotStarted, refusal: '' }))
	}

	override abandon(): void {
		// Its end is on its way.
	}
}

/** One HTTP request to a worker. */
class HttpAttempt extends Attempt {
	private readonly timer: NodeJS.Timeout
	private isFinished = false
	/** Whether any byte may have reached the worker. */
	private wasWritten = false

	constructor(
		call: WorkerCall,
		private readonly request: ClientRequest,
		private readonly onEnd: (result: AttemptResult) => void
	) {
		super()
		this.request.on('socket', (socket) => {
			if (!socket.connecting) this.wasWritten = true
			else socket.once('connect', () => (this.wasWritten = true))
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
		this.finish({ end: this.wasWritten ? CallOutcome.Lost : CallOutcome.NotStarted, refusal: '' })
	}

	private read(response: IncomingMessage): void {
		const chunks: Buffer[] = []
		let length = 0
		response.on('data', (chunk: Buffer) => {
			length += chunk.length
			if (length <= MAX_ANSWER_BYTES) chunks.push(chunk)
		})
		response.on('error', () => this.fail())
		response.on('close', () => this.fail())
		response.on('end', () => {
			if (!response.complete) this.fail()
			else if (length > MAX_ANSWER_BYTES) this.finish({ end: CallOutcome.TooLong, refusal: '' })
			else this.finish(toAttemptResult(response, Buffer.concat(chunks)))
		})
	}

	private finish(result: AttemptResult): void {
		if (this.isFinished) return
		this.isFinished = true
		clearTimeout(this.timer)
		this.onEnd(result)
	}
}

function toAttemptResult(response: IncomingMessage, body: Buffer): AttemptResult {
	const refusal = response.headers[REFUSED_HEADER]
	if (refusal !== undefined) return { end: CallOutcome.NotStarted, refusal: String(refusal) }
	const headers = endToEndHeaders(response.headers, new Set(['content-length']))
	const status = response.statusCode ?? 0
	const passed = status >= MIN_FINAL_STATUS ? status : BAD_GATEWAY
	const answer = { status: passed, headers, body }
	return { end: CallOutcome.Answered, answer, refusal: '' }
}

function toHeaders(call: WorkerCall): { [name: string]: string | string[] } {
	const lists: { [name: string]: string | string[] } = {}
	for (const { name, value } of call.headers) {
		const known = lists[name]
		if (known === undefined) lists[name] = value
		else lists[name] = Array.isArray(known) ? [...known, value] : [known, value]
	}
	lists['content-length'] = String(call.body.length)
	return lists
}
