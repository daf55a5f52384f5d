/** The operators' HTTP API; each route is described in `docs/INTERFACES.md`. */
import { readFileSync } from 'node:fs'
import {
	createServer as createPlainServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http'
import { createServer as createSecureServer } from 'node:https'
import type { AddressInfo } from 'node:net'
import { randomUUID } from 'node:crypto'
import { operatorCallSchema, type OperatorCall, type OperatorReply } from '@rillrudder/cell'
import type { TlsFiles } from '@rillrudder/protocol'
import { SYSTEM_GROUP, type Endpoint } from '@rillrudder/settings'
import { parseJson, readBody } from '@rillrudder/web'
import type { OperatorAuthenticator } from './OperatorAuthenticator'

const MAX_BODY_BYTES = 4 * 1024 * 1024
/** Completes the paths of requests to URLs. */
const BASE_URL = 'http://operators'
const UNREADABLE_PATH: OperatorReply = { code: 400, message: 'the path cannot be decoded' }

/** Dependencies of `OperatorServer`. @internal */
export interface OperatorServerParts {
	readonly listen: Endpoint
	readonly tls?: TlsFiles
	readonly authenticator: OperatorAuthenticator
	readonly dataCentre: string
	readonly call: (group: string, call: OperatorCall) => Promise<OperatorReply>
	readonly status: () => unknown
	readonly configuration: () => unknown
}

interface Route {
	readonly method: string
	readonly path: RegExp
	/** Kind of the resulting operator call. */
	readonly kind: OperatorCall['kind']
	/** Field of the call that is set from the parameter in the path. */
	readonly subject?: string
	/** Whether the call always goes to the system group. */
	readonly isSystem?: boolean
}

const ROUTES: readonly Route[] = [
	{
		method: 'POST',
		path: /^\/v1\/data-centres\/([^/]+)\/declare-down$/,
		kind: 'declare-down',
		subject: 'dataCentre',
		isSystem: true,
	},
	{
		method: 'POST',
		path: /^\/v1\/data-centres\/([^/]+)\/declare-up$/,
		kind: 'declare-up',
		subject: 'dataCentre',
		isSystem: true,
	},
	{ method: 'POST', path: /^\/v1\/configuration$/, kind: 'propose', isSystem: true },
	{ method: 'POST', path: /^\/v1\/plans$/, kind: 'plan' },
	{ method: 'POST', path: /^\/v1\/plans\/([^/]+)\/confirm$/, kind: 'confirm', subject: 'plan' },
	{ method: 'POST', path: /^\/v1\/plans\/([^/]+)\/reject$/, kind: 'reject', subject: 'plan' },
	{ method: 'POST', path: /^\/v1\/intents\/([^/]+)\/cancel$/, kind: 'cancel', subject: 'intent' },
	{ method: 'POST', path: /^\/v1\/workers\/([^/]+)\/drain$/, kind: 'drain', subject: 'worker' },
	{ method: 'GET', path: /^\/v1\/tasks\/(.+)\/explain$/, kind: 'explain', subject: 'task' },
	{ method: 'GET', path: /^\/v1\/tasks$/, kind: 'tasks' },
	{ method: 'GET', path: /^\/v1\/workers$/, kind: 'workers' },
	{ method: 'GET', path: /^\/v1\/audit$/, kind: 'audit' },
]

/**
 * The operators' HTTP server.
 *
 * @internal
 */
export class OperatorServer {
	private readonly server: Server

	constructor(private readonly parts: OperatorServerParts) {
		const handle = (request: IncomingMessage, response: ServerResponse): void => {
			void this.handle(request, response)
		}
		this.server = parts.tls
			? createSecureServer(tlsOptionsOf(parts.tls), handle)
			: createPlainServer(handle)
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

	stop(): void {
		this.server.closeAllConnections()
		this.server.close()
	}

	private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const body = await readBody(request, MAX_BODY_BYTES)
		if (!body.ok) return sendReply(response, { code: 413, message: 'the body is too long' })
		const operator = this.parts.authenticator.nameOf(request)
		if (operator === undefined)
			return sendReply(response, {
				code: 401,
				message: 'who are you?',
			})
		const target = request.url ?? '/'
		if (!URL.canParse(target, BASE_URL)) return sendReply(response, UNREADABLE_PATH)
		const url = new URL(target, BASE_URL)
		if (request.method === 'GET' && url.pathname === '/v1/status') {
			return sendReply(response, { code: 200, message: '', content: this.parts.status() })
		}
		if (request.method === 'GET' && url.pathname === '/v1/configuration') {
			return sendReply(response, { code: 200, message: '', content: this.parts.configuration() })
		}
		sendReply(response, await this.route(request, url, body.value, operator))
	}

	private async route(
		request: IncomingMessage,
		url: URL,
		body: Buffer,
		operator: string
	): Promise<OperatorReply> {
		for (const route of ROUTES) {
			const match = route.path.exec(url.pathname)
			if (!match || route.method !== request.method) continue
			const fields = fieldsOf(body, url)
			if (!fields) return { code: 400, message: 'the body is no JSON object' }
			const subject = route.subject ? decodeSegment(match[1]) : ''
			if (subject === undefined) return UNREADABLE_PATH
			const subjectField = route.subject ? { [route.subject]: subject } : {}
			const input = {
				request: randomUUID(),
				...fields,
				...subjectField,
				kind: route.kind,
				operator,
			}
			const call = operatorCallSchema.safeParse(input)
			if (!call.success) return { code: 400, message: call.error.issues[0].message }
			return this.parts.call(this.groupOf(route, url, fields), call.data)
		}
		return { code: 404, message: `there is no ${request.method} ${url.pathname}` }
	}

	private groupOf(route: Route, url: URL, fields: { [name: string]: unknown }): string {
		if (route.isSystem) return SYSTEM_GROUP
		const named = url.searchParams.get('dataCentre') ?? fields.dataCentre
		return typeof named === 'string' && named !== '' ? named : this.parts.dataCentre
	}
}

/** @returns the decoded segment of a path; undefined if it is not percent-encoded UTF-8. */
function decodeSegment(segment: string): string | undefined {
	try {
		return decodeURIComponent(segment)
	} catch {
		return undefined
	}
}

function fieldsOf(body: Buffer, url: URL): { [name: string]: unknown } | undefined {
	const query: { [name: string]: unknown } = Object.fromEntries(url.searchParams)
	for (const name of ['from', 'to']) if (name in query) query[name] = Number(query[name])
	if (body.length === 0) return query
	const fields = parseJson(body)
	if (typeof fields !== 'object' || fields === null || Array.isArray(fields)) return undefined
	return { ...query, ...fields }
}

function sendReply(response: ServerResponse, reply: OperatorReply): void {
	const { code, message, content } = reply
	response.writeHead(code, { 'content-type': 'application/json' })
	response.end(JSON.stringify({ message, content }))
}

function tlsOptionsOf(tls: TlsFiles) {
	return {
		ca: readFileSync(tls.authority),
		cert: readFileSync(tls.certificate),
		key: readFileSync(tls.key),
		requestCert: true,
		rejectUnauthorized: true,
	}
}
