/** Calls the operators' API of one instance. */
import { readFileSync } from 'node:fs'
import type { Result } from '@rillrudder/utils'
import { requestJson, type JsonResponse, type RequestError } from '@rillrudder/web'

const TIMEOUT = 15_000

/** Where and as whom to call. @public */
export interface ClientSettings {
	readonly host: string
	readonly port: number
	/** Name for the audit, believed only where neither TLS nor tokens are set up. */
	readonly operator: string
	readonly token?: string
	readonly tlsAuthority?: string
	readonly tlsCertificate?: string
	readonly tlsKey?: string
}

/**
 * The client of the operators' API.
 *
 * @public
 */
export class OperatorClient {
	constructor(private readonly settings: ClientSettings) {}

	/** Asks for something. */
	get(path: string): Promise<Result<JsonResponse, RequestError>> {
		return this.call('GET', path)
	}

	/** Asks for something to be done. */
	post(path: string, body: object): Promise<Result<JsonResponse, RequestError>> {
		return this.call('POST', path, body)
	}

	private call(
		method: string,
		path: string,
		body?: object
	): Promise<Result<JsonResponse, RequestError>> {
		const { host, port, operator, token } = this.settings
		const headers = {
			'rillrudder-operator': operator,
			...(token ? { authorization: `Bearer ${token}` } : {}),
		}
		const tls = this.tls()
		return requestJson({ host, port, method, path, body, headers, tls, timeout: TIMEOUT })
	}

	private tls() {
		const { tlsAuthority, tlsCertificate, tlsKey } = this.settings
		if (!tlsAuthority) return undefined
		return {
			ca: readFileSync(tlsAuthority),
			cert: tlsCertificate ? readFileSync(tlsCertificate) : undefined,
			key: tlsKey ? readFileSync(tlsKey) : undefined,
		}
	}
}
