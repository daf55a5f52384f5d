/** A caller's request as it came by HTTP, and the one place where its answer is given. */
import { createHash, randomUUID } from 'node:crypto'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { Outcome, type Problem } from '@rillrudder/cell'
import { CallerRequest, type AttemptOptions } from '@rillrudder/intake'
import type { Answer } from '@rillrudder/protocol'
import { endToEndHeaders, type PassedHeader } from '@rillrudder/web'
import { statusOf, titleOf } from './problems'

const PROBLEM_TYPE = 'urn:rillrudder:problem:'

/** Headers of the system itself, which are not passed on as they came. */
const OWN_HEADERS = new Set([
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

/** What the headers say. @internal */
export interface RequestTerms {
	readonly customer: string
	/** The caller's own key; absent when the system is to make one. */
	readonly key?: string
	readonly repeatable: boolean
	/** Milliseconds that the caller gives it. */
	readonly timeout: number
}

/**
 * A caller's request.
 *
 * @internal
 */
export class HttpRequest extends CallerRequest {
	readonly customer: string
	readonly key: string
	/** Whether the caller chose the key, and may send it again. */
	readonly callersKey: boolean
	readonly repeatable: boolean
	readonly timeout: number
	readonly method: string
	readonly path: string
	/** Digest of method, path and body: the same key must come with the same. */
	readonly digest: string
	readonly deadline: number
	private answered = false
	private readonly headers: readonly PassedHeader[]

	/**
	 * @param request - as it came.
	 * @param response - where the answer goes.
	 * @param terms - what its headers say.
	 * @param body - its whole body.
	 * @param arrivedAt - monotonic milliseconds.
	 * @param done - told once when it has been answered.
	 */
	constructor(
		request: IncomingMessage,
		private readonly response: ServerResponse,
		terms: RequestTerms,
		readonly body: Buffer,
		readonly arrivedAt: number,
		private readonly done: (outcome: Outcome) => void
	) {
		super()
		this.customer = terms.customer
		this.callersKey = terms.key !== undefined
		this.key = terms.key ?? randomUUID()
		this.repeatable = terms.repeatable
		this.timeout = terms.timeout
		this.deadline = arrivedAt + terms.timeout
		this.method = request.method ?? 'GET'
		this.path = request.url ?? '/'
		this.headers = endToEndHeaders(request.headers, OWN_HEADERS)
		this.digest = terms.repeatable ? '' : digestOf(this.method, this.path, body)
	}

	override get isAnswered(): boolean {
		return this.answered
	}

	override onDisconnect(gone: () => void): void {
		this.response.on('close', () => {
			if (!this.answered) gone()
		})
	}

	override headersFor(terms: AttemptOptions): PassedHeader[] {
		return [
			...this.headers,
			{ name: 'rillrudder-customer', value: this.customer },
			{ name: 'idempotency-key', value: this.key },
			{ name: 'rillrudder-repeatable', value: String(this.repeatable) },
			{ name: 'rillrudder-attempt', value: String(terms.attempt) },
			{ name: 'rillrudder-fence', value: String(terms.fence) },
			{ name: 'rillrudder-timeout', value: String(Math.max(1, Math.floor(terms.timeout))) },
		]
	}

	override answer(answer: Answer): void {
		if (!this.take(Outcome.Ran)) return
		const headers: { [name: string]: string | string[] } = {}
		for (const { name, value } of answer.headers) {
			const known = headers[name]
			headers[name] = known === undefined ? value : [known, value].flat()
		}
		this.response.writeHead(answer.status, {
			...headers,
			...this.ownHeaders(Outcome.Ran),
			'content-length': answer.body.length,
		})
		this.response.end(answer.body)
	}

	/** As RFC 9457 has it. */
	override refuse(outcome: Outcome, problem: Problem, retryAfter?: number): void {
		if (!this.take(outcome)) return
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
			...this.ownHeaders(outcome),
			...(seconds === undefined ? {} : { 'retry-after': String(seconds) }),
			'content-length': body.length,
		})
		this.response.end(body)
	}

	private ownHeaders(outcome: Outcome): { [name: string]: string } {
		return { 'rillrudder-outcome': outcome, 'idempotency-key': this.key }
	}

	private take(outcome: Outcome): boolean {
		if (this.answered) return false
		this.answered = true
		this.done(outcome)
		return !this.response.destroyed
	}
}

function digestOf(method: string, path: string, body: Buffer): string {
	return createHash('sha256').update(`${method} ${path}\n`).update(body).digest('base64')
}
