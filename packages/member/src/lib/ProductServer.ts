/** The product's own interface of an instance: jobs, measures, status. */
import {
	checkJob,
	digestOf,
	DEFAULT_STEP,
	type CellCall,
	type CellReply,
	type Destination,
	type JobRequest,
} from '@rillrudder/jobs'
import type { Meter } from '@rillrudder/telemetry'
import { formatFinding } from '@rillrudder/utils'
import { HttpServer, type Address, type HttpAnswer, type HttpCall } from '@rillrudder/web'
import type { Finality } from './LeaderCalls'

/** Operators wait longer than callers do. */
const FINALITY: Finality = { patience: 2000, limit: 5000 }
/** Jobs in a list, where the call names no other number. */
const DEFAULT_LIST = 100
const MOST_LIST = 1000
const JOB = /^\/v1\/jobs\/([0-9a-f]{16})(\/cancel)?$/
/** How the key of a client account is shown. */
const BEARER = /^Bearer +(\S+)$/i
const QUEUE_JOB = /^\/v1\/queues\/([^/]+)\/jobs\/([0-9a-f]{16})$/

/** What the interface works with. @public */
export interface ProductServerParts {
	readonly call: (call: CellCall, finality: Finality) => Promise<CellReply>
	readonly meter: Meter
	/** Sets gauges that nobody keeps up to date between two readings. */
	readonly refresh: () => void
	/** What the instance tells of itself. */
	readonly status: () => object
}

/**
 * The product's own interface.
 *
 * @public
 */
export class ProductServer {
	private readonly server = new HttpServer((call) => this.answer(call))

	constructor(private readonly parts: ProductServerParts) {}

	/** Listens. */
	listen(address: Address): Promise<void> {
		return this.server.listen(address)
	}

	/** Takes no more calls. */
	close(): void {
		this.server.close()
	}

	private async answer(call: HttpCall): Promise<HttpAnswer> {
		const { method, path } = call
		if (method === 'GET' && path === '/metrics') {
			this.parts.refresh()
			return { status: 200, body: await this.parts.meter.text(), headers: TEXT }
		}
		if (method === 'GET' && path === '/v1/status') {
			return { status: 200, body: { content: this.parts.status() } }
		}
		const asked = toCall(call)
		return 'status' in asked ? asked : toAnswer(await this.parts.call(asked, FINALITY))
	}
}

const TEXT = { 'content-type': 'text/plain; version=0.0.4' }

function toCall({ method, path, query, headers, body }: HttpCall): CellCall | HttpAnswer {
	const submitted = QUEUE_JOB.exec(path)
	if (method === 'POST' && submitted) {
		const to = { queue: submitted[1], id: submitted[2], keyDigest: bearerDigest(headers) }
		return toSubmission(to, body)
	}
	if (method === 'GET' && path === '/v1/accounts') return { kind: 'list-accounts' }
	if (method === 'GET' && path === '/v1/jobs') {
		const most = Math.min(MOST_LIST, Number(query.get('most') ?? DEFAULT_LIST) || DEFAULT_LIST)
		const queue = query.get('queue') ?? undefined
		const state = query.get('state') ?? undefined
		return { kind: 'list-jobs', filter: { queue, state, most } }
	}
	const job = JOB.exec(path)
	if (method === 'GET' && job && !job[2]) return { kind: 'explain-job', id: job[1] }
	if (method === 'POST' && job?.[2]) return { kind: 'cancel', to: { id: job[1] } }
	return { status: 404, body: { message: `there is no ${method} ${path}` } }
}

/** @returns the digest of the key that a call shows as a bearer token; undefined for none. */
function bearerDigest({ authorization }: HttpCall['headers']): string | undefined {
	const key = BEARER.exec(authorization ?? '')?.[1]
	return key === undefined ? undefined : digestOf(key)
}

function toSubmission(to: Destination, body: Buffer): CellCall | HttpAnswer {
	const job = parseJob(body)
	if (!job) return { status: 400, body: { message: 'the body is no job' } }
	const findings = checkJob(job)
	if (findings.length === 0) return { kind: 'submit', to, job }
	return { status: 422, body: { message: findings.map(formatFinding).join('; ') } }
}

function parseJob(body: Buffer): JobRequest | undefined {
	let read: unknown
	try {
		read = JSON.parse(body.toString())
	} catch {
		return undefined
	}
	const { spec = '', steps, repeat } = (read ?? {}) as Partial<JobRequest>
	if (typeof spec !== 'string' || !Array.isArray(steps)) return undefined
	const whole = steps.map((step) => completeStep(step))
	if (whole.some((step) => step === undefined)) return undefined
	return { spec, steps: whole as JobRequest['steps'], repeat }
}

/** @returns the step with what it leaves out, or undefined when a field has the wrong type. */
function completeStep(step: unknown): JobRequest['steps'][number] | undefined {
	if (typeof step !== 'object' || step === null) return undefined
	const given = step as { readonly [field: string]: unknown }
	for (const [field, value] of Object.entries(given)) {
		const plain = (DEFAULT_STEP as unknown as { readonly [field: string]: unknown })[field]
		if (typeof plain !== typeof value || Array.isArray(plain) !== Array.isArray(value)) {
			return undefined
		}
	}
	return { ...DEFAULT_STEP, ...given, need: { ...DEFAULT_STEP.need, ...(given.need as object) } }
}

function toAnswer(reply: CellReply): HttpAnswer {
	switch (reply.kind) {
		case 'accepted':
		case 'noted':
			return { status: 200, body: { message: reply.kind } }
		case 'jobs':
			return { status: 200, body: { content: reply.jobs } }
		case 'explanation':
			return { status: 200, body: { content: reply.explanation } }
		case 'no-such-queue':
		case 'no-such-job':
			return { status: 404, body: { message: reply.kind } }
		case 'accounts':
			return { status: 200, body: { content: reply.accounts } }
		case 'unauthorized':
			return {
				status: 401,
				body: { message: 'no key, or one that no account holds' },
				headers: { 'www-authenticate': 'Bearer' },
			}
		case 'id-taken':
			return { status: 409, body: { message: 'another account has a job of that id' } }
		case 'impossible':
			return { status: 422, body: { message: reply.reason } }
		case 'not-run':
			return { status: 503, body: { message: reply.reason } }
		case 'unknown':
			return { status: 504, body: { message: reply.reason } }
		default:
			return { status: 500, body: { message: `unexpected reply ${reply.kind}` } }
	}
}
