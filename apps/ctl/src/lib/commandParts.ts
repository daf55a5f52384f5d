/** What the commands of `rrctl` share: flags, calls, files. */
import { randomUUID } from 'node:crypto'
import { readFileSync } from 'node:fs'
import { ExitCode } from '@rillrudder/program'
import { flag, option, optional, string } from 'cmd-ts'
import { OperatorClient } from './OperatorClient'
import { show, type Printer } from './output'

const DEFAULT_ADDRESS = '127.0.0.1:7200'

const setting = (long: string, env: string, description: string) =>
	option({ type: optional(string), long, env, description })

/** Flags that every command takes. */
export const common = {
	at: option({
		type: string,
		long: 'at',
		env: 'RR_AT',
		defaultValue: () => DEFAULT_ADDRESS,
		description: 'host:port of the operator API of any instance',
	}),
	dataCentre: setting(
		'data-centre',
		'RR_DATA_CENTRE',
		"data centre; the instance's own by default"
	),
	operator: option({
		type: string,
		long: 'operator',
		env: 'RR_OPERATOR',
		defaultValue: () => process.env.USER ?? 'unnamed',
		description: 'your name for the audit, where neither TLS nor tokens are set up',
	}),
	token: setting('token', 'RR_TOKEN', 'your token'),
	tlsAuthority: setting('tls-authority', 'RR_TLS_AUTHORITY', 'PEM file of who signs the server'),
	tlsCertificate: setting('tls-certificate', 'RR_TLS_CERTIFICATE', 'your PEM file'),
	tlsKey: setting('tls-key', 'RR_TLS_KEY', 'your PEM file'),
	json: flag({ long: 'json', description: 'print JSON for programs' }),
}

/** Flags of commands that change something. */
export const changing = {
	...common,
	request: option({
		type: string,
		long: 'request',
		defaultValue: () => randomUUID(),
		description: 'id of this request; the same again gets the first answer',
	}),
}

export interface Common {
	readonly at: string
	readonly dataCentre?: string
	readonly operator: string
	readonly token?: string
	readonly tlsAuthority?: string
	readonly tlsCertificate?: string
	readonly tlsKey?: string
	readonly json: boolean
}

export async function get(
	flags: Common,
	path: string,
	query: Query,
	print: Printer
): Promise<ExitCode> {
	const reply = await clientFor(flags).get(withQuery(path, { ...query, ...place(flags) }))
	return show(reply, flags.json, print)
}

export async function post(
	flags: Common & { readonly request: string },
	path: string,
	body: object,
	print: Printer
): Promise<ExitCode> {
	const { request } = flags
	const reply = await clientFor(flags).post(path, { ...body, ...place(flags), request })
	return show(reply, flags.json, print)
}

export type Query = { readonly [name: string]: string | number | undefined }

export function clientFor(flags: Common): OperatorClient {
	const colon = flags.at.lastIndexOf(':')
	const host = flags.at.slice(0, colon)
	const port = Number(flags.at.slice(colon + 1))
	return new OperatorClient({ ...flags, host, port })
}

function place(flags: Common): { dataCentre?: string } {
	return flags.dataCentre === undefined ? {} : { dataCentre: flags.dataCentre }
}

function withQuery(path: string, query: Query): string {
	const search = new URLSearchParams()
	for (const [name, value] of Object.entries(query)) {
		if (value !== undefined) search.set(name, String(value))
	}
	return search.size === 0 ? path : `${path}?${search.toString()}`
}

export async function withFile(
	file: string,
	act: (text: string) => Promise<ExitCode>
): Promise<ExitCode> {
	let text: string
	try {
		text = readFileSync(file === '-' ? 0 : file, 'utf8')
	} catch (fault) {
		process.stderr.write(`${file}: ${(fault as Error).message}\n`)
		return ExitCode.Usage
	}
	return act(text)
}

export function encode(part: string): string {
	return part.split('/').map(encodeURIComponent).join('/')
}
