/** A caller's HTTP request, and the only place where it is answered. */
import { createHash, randomUUID } from 'node:crypto'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { Outcome, type Problem } from '@rillrudder/cell'
import { CallerRequest, type AttemptOptions } from '@rillrudder/intake'
import type { Answer } from '@rillrudder/protocol'
import { endToEndHeaders, type EndToEndHeader } from '@rillrudder/web'
import { statusOf, titleOf } from './problems'

const PROBLEM_TYPE = 'urn:rillrudder:problem:'

/** Request headers that the system handles itself and does not pass on unchanged. */
const SYSTEM_HEADERS = new Set([
	'host',
	'content-length',
	'expect',
	'idempotency-key',
	'rillrudder-customer',
	'rillrudder-repeatable',
	'rillrudder-timeout',
	'rillrudder-fence',
	'rillrudder-attempt',
])

/** Options that a caller sets in request headers. @internal */
export interface RequestOptions {
	readonly customer: string
	/** The key chosen by the caller; absent if the system should generate one. */
	readonly key?: string
	readonly repeatable: boolean
	/** Timeout set by the caller, in milliseconds. */
	readonly timeout: number
}

/**
 * A caller's request that arrived by HTTP.
 *
 * @internal
 */
export class HttpRequest extends CallerRequest {
	readonly customer: string
	readonly key: string
	/** Whether the caller supplied the key, and so may retry with the same key. */
	readonly callersKey: boolean
	readonly repeatable: boolean
	readonly timeout: number
	readonly method: string
	readonly path: string
	/** Digest of method, path and body. A key may only be reused with an identical digest. */
	readonly digest: string
	readonly deadline: number
	private answered = false
	private readonly headers: readonly EndToEndHeader[]

	/**
	 * @param request - the HTTP request.
	 * @param response - the HTTP response to write the answer to.
	 * @param options - options parsed from its headers.
	 * @param body - its complete body.
	 * @param arrivedAt - arrival time in monotonic milliseconds.
	 * @param onAnswered - called once, when the request is answered or refused.
	 */
	constructor(
		request: IncomingMessage,
		private readonly response: ServerResponse,
		options: RequestOptions,
		readonly body: Buffer,
		readonly arrivedAt: number,
		private readonly onAnswered: (outcome: Outcome) => void
	) {
		super()
		this.customer = options.customer
		this.callersKey = options.key !== undefined
		this.key = options.key ?? randomUUID()
		this.repeatable = options.repeatable
		this.timeout = options.timeout
		this.deadline = arrivedAt + options.timeout
		this.method = request.method ?? 'GET'
		this.path = request.url ?? '/'
		this.headers = endToEndHeaders(request.headers, SYSTEM_HEADERS)
		this.digest = options.repeatable ? '' : digestOf(this.method, this.path, body)
	}

	override get isAnswered(): boolean {
		return this.answered
	}

	override onDisconnect(listener: () => void): void {
		this.response.on('close', () => {
			if (!this.answered) listener()
		})
	}

	override headersFor(options: AttemptOptions): EndToEndHeader[] {
		return [
			...this.headers,
			{ name: 'rillrudder-customer', value: this.customer },
			{ name: 'idempotency-key', value: this.key },
			{ name: 'rillrudder-repeatable', value: String(this.repeatable) },
			{ name: 'rillrudder-attempt', value: String(options.attempt) },
			{ name: 'rillrudder-fence', value: String(options.fence) },
			{ name: 'rillrudder-timeout', value: String(Math.max(1, Math.floor(options.timeout))) },
		]
	}

	override answer(answer: Answer): void {
		if (!this.markAnswered(Outcome.Ran)) return
		const headers: { [name: string]: string | string[] } = {}
		for (const { name, value } of answer.headers) {
			const existing = headers[name]
			headers[name] = existing === undefined ? value : [existing, value].flat()
		}
		this.response.writeHead(answer.status, {
			...headers,
			...this.systemHeaders(Outcome.Ran),
			'content-length': answer.body.length,
		})
		this.response.end(answer.body)
	}

	/** Sends a problem document according to RFC 9457. */
	override refuse(outcome: Outcome, problem: Problem, retryAfter?: number): void {
		if (!this.markAnswered(outcome)) return
		const status = statusOf(problem, outcome)
		const seconds = retryAfter === undefined ? undefined : Math.max(1, Math.ceil(retryAfter / 1000))
		const body = Buffer.from(
			JSON.stringify({
				type: `${PROBLEM_TYPE}${problem}`,
				title: titleOf(problem),
				status,
				outcome,
				key: this.key,
				...(seconds === undefined ? {} : { retryAfterSeconds: seconds }),
			})
		)
		this.response.writeHead(status, {
			'content-type': 'application/problem+json',
			...this.systemHeaders(outcome),
			...(seconds === undefined ? {} : { 'retry-after': String(seconds) }),
			'content-length': body.length,
		})
		this.response.end(body)
	}

	private systemHeaders(outcome: Outcome): { [name: string]: string } {
		return { 'rillrudder-outcome': outcome, 'idempotency-key': this.key }
	}

	/** Marks the request as answered. @returns whether the response can still be written. */
	private markAnswered(outcome: Outcome): boolean {
		if (this.answered) return false
		this.answered = true
		this.onAnswered(outcome)
		return !this.response.destroyed
	}
}

function digestOf(method: string, path: string, body: Buffer): string {
	return createHash('sha256').update(`${method} ${path}\n`).update(body).digest('base64')
}
