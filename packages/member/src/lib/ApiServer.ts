/** The HTTP API of an instance: jobs, metrics and status. */
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
import {
	HttpServer,
	parseJson,
	type Address,
	type HttpServerResponse,
	type HttpServerRequest,
} from '@rillrudder/web'
import type { RetryLimits } from './LeaderCalls'

/** Operators wait longer than other callers. */
const OPERATOR_RETRY_LIMITS: RetryLimits = { leaderWait: 2000, limit: 5000 }
/** Number of jobs in a list if the request names none. */
const DEFAULT_LIST_SIZE = 100
const MAX_LIST_SIZE = 1000
const JOB_PATH = /^\/v1\/jobs\/([0-9a-f]{16})(\/cancel)?$/
/** The authorization header that carries the key of a client account. */
const BEARER_TOKEN = /^Bearer +(\S+)$/i
const QUEUE_JOB_PATH = /^\/v1\/queues\/([^/]+)\/jobs\/([0-9a-f]{16})$/

/** Dependencies of the API server. @public */
export interface ApiServerParts {
	readonly call: (call: CellCall, limits: RetryLimits) => Promise<CellReply>
	readonly meter: Meter
	/** Updates the gauges that are only computed when metrics are read. */
	readonly refresh: () => void
	/** The status of the instance. */
	readonly status: () => object
}

/**
 * Serves the HTTP API of an instance.
 *
 * @public
 */
export class ApiServer {
	private readonly server = new HttpServer((call) => this.answer(call))

	constructor(private readonly parts: ApiServerParts) {}

	/** Starts to listen. */
	listen(address: Address): Promise<void> {
		return this.server.listen(address)
	}

	/** Accepts no more calls. */
	close(): void {
		this.server.close()
	}

	private async answer(call: HttpServerRequest): Promise<HttpServerResponse> {
		const { method, path } = call
		if (method === 'GET' && path === '/metrics') {
			this.parts.refresh()
			return { status: 200, body: await this.parts.meter.text(), headers: TEXT }
		}
		if (method === 'GET' && path === '/v1/status') {
			return { status: 200, body: { content: this.parts.status() } }
		}
		const request = toCall(call)
		return 'status' in request
			? request
			: toAnswer(await this.parts.call(request, OPERATOR_RETRY_LIMITS))
	}
}

const TEXT = { 'content-type': 'text/plain; version=0.0.4' }

function toCall({
	method,
	path,
	query,
	headers,
	body,
}: HttpServerRequest): CellCall | HttpServerResponse {
	const submitted = QUEUE_JOB_PATH.exec(path)
	if (method === 'POST' && submitted) {
		const to = { queue: submitted[1], id: submitted[2], keyDigest: bearerDigest(headers) }
		return toSubmission(to, body)
	}
	if (method === 'GET' && path === '/v1/accounts') return { kind: 'list-accounts' }
	if (method === 'GET' && path === '/v1/jobs') {
		const limit = Math.min(
			MAX_LIST_SIZE,
			Number(query.get('most') ?? DEFAULT_LIST_SIZE) || DEFAULT_LIST_SIZE
		)
		const queue = query.get('queue') ?? undefined
		const state = query.get('state') ?? undefined
		return { kind: 'list-jobs', filter: { queue, state, most: limit } }
	}
	const job = JOB_PATH.exec(path)
	if (method === 'GET' && job && !job[2]) return { kind: 'explain-job', id: job[1] }
	if (method === 'POST' && job?.[2]) return { kind: 'cancel', to: { id: job[1] } }
	return { status: 404, body: { message: `there is no ${method} ${path}` } }
}

/** @returns the digest of the bearer token of a call; undefined if it has none. */
function bearerDigest({ authorization }: HttpServerRequest['headers']): string | undefined {
	const key = BEARER_TOKEN.exec(authorization ?? '')?.[1]
	return key === undefined ? undefined : digestOf(key)
}

function toSubmission(to: Destination, body: Buffer): CellCall | HttpServerResponse {
	const job = parseJob(body)
	if (!job) return { status: 400, body: { message: 'the body is no job' } }
	const findings = checkJob(job)
	if (findings.length === 0) return { kind: 'submit', to, job }
	return { status: 422, body: { message: findings.map(formatFinding).join('; ') } }
}

function parseJob(body: Buffer): JobRequest | undefined {
	const read = parseJson(body)
	if (read === undefined) return undefined
	const { spec = '', steps, repeat } = (read ?? {}) as Partial<JobRequest>
	if (typeof spec !== 'string' || !Array.isArray(steps)) return undefined
	const complete = steps.map((step) => completeStep(step))
	if (complete.some((step) => step === undefined)) return undefined
	return { spec, steps: complete as JobRequest['steps'], repeat }
}

/** @returns the step with defaults for missing fields; undefined if a field has the wrong type. */
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

function toAnswer(reply: CellReply): HttpServerResponse {
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
