/** Stand-ins for the operator and for clients. */
import { call } from './http.mjs'
import { pause } from './record.mjs'

/** @returns a route of a manifest, as the users' page shows it. */
export function route(name, prefix, service, changes = {}) {
	return {
		name,
		host: 'nony24.example',
		pathPrefix: prefix,
		kind: 'non_idempotent',
		timeoutMs: 3000,
		targetLatencyMs: 250,
		priority: 0,
		service,
		maxAttempts: 2,
		extension: 1.5,
		...changes,
	}
}

/** @returns a manifest. */
export function manifest(version, routes, services) {
	return {
		version,
		routes,
		services: services.map((name) => ({
			name,
			healthPath: '/healthz',
			maxConns: 64,
			protocol: 'h1',
			tls: false,
			enforcesCapacity: false,
			headroom: false,
		})),
		limits: {
			maxHeaderBytes: 16384,
			maxBodyBytes: 262144,
			headerTimeoutMs: 3000,
			idleTimeoutMs: 15000,
		},
	}
}

/** Sends a manifest to the core until it is acknowledged. */
export async function replaceManifest(cell, record, body, limit = 10_000) {
	const until = record.now + limit
	for (let index = 0; record.now < until; index++) {
		const address = cell.control[index % cell.control.length]
		const path = '/rillrudder/config/replace'
		const { status } = await call({ address, method: 'POST', path, body, timeout: 2000 })
		record.add(`manifest ${body.version} to ${address}: ${status}`)
		if (status === 200) return
		await pause(200)
	}
	throw new Error(`manifest ${body.version} was not acknowledged`)
}

/** A client that goes on to the next front after a failure. */
export class Client {
	constructor(cell, record) {
		this.cell = cell
		this.record = record
		this.next = 0
	}

	/** Makes one call and records it. */
	async call(method, path, body, timeout = 3000) {
		const fronts = this.cell.frontends
		const address = fronts[this.next++ % fronts.length]
		const headers = { host: 'nony24.example', 'deadline-ms': '3000' }
		const reply = await call({ address, method, path, headers, body, timeout })
		const said = reply.body ? ` ${JSON.stringify(reply.body).slice(0, 120)}` : ''
		this.record.add(`client ${method} ${path}: ${reply.status}${said}`)
		return reply
	}

	/** Hands a job in until it is accepted. */
	async submit(path, body, limit = 15_000) {
		const until = this.record.now + limit
		while (this.record.now < until) {
			const { status } = await this.call('POST', path, body)
			if (status === 200) return
			await pause(200)
		}
		throw new Error(`${path} was not accepted`)
	}
}
