/** The commands of `rrctl`. */
import { randomUUID } from 'node:crypto'
import { readFileSync } from 'node:fs'
import { ExitCode } from '@rillrudder/program'
import { command, flag, number, option, optional, positional, string, subcommands } from 'cmd-ts'
import { homesThatMove } from './homesThatMove'
import { OperatorClient } from './OperatorClient'
import { printJob, printJobs, printJobSteps, printMessage } from './jobPrinters'
import { show, type Printer } from './output'
import {
	printAnswer,
	printAudit,
	printConfiguration,
	printDecision,
	printExplanation,
	printPlan,
	printStatus,
	printTasks,
	printWorkers,
} from './printers'

const DEFAULT_ADDRESS = '127.0.0.1:7200'

const setting = (long: string, env: string, description: string) =>
	option({ type: optional(string), long, env, description })

/** Flags that every command takes. */
const common = {
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
const changing = {
	...common,
	request: option({
		type: string,
		long: 'request',
		defaultValue: () => randomUUID(),
		description: 'id of this request; the same again gets the first answer',
	}),
}

interface Common {
	readonly at: string
	readonly dataCentre?: string
	readonly operator: string
	readonly token?: string
	readonly tlsAuthority?: string
	readonly tlsCertificate?: string
	readonly tlsKey?: string
	readonly json: boolean
}

async function get(flags: Common, path: string, query: Query, print: Printer): Promise<ExitCode> {
	const reply = await clientFor(flags).get(withQuery(path, { ...query, ...place(flags) }))
	return show(reply, flags.json, print)
}

async function post(
	flags: Common & { readonly request: string },
	path: string,
	body: object,
	print: Printer
): Promise<ExitCode> {
	const { request } = flags
	const reply = await clientFor(flags).post(path, { ...body, ...place(flags), request })
	return show(reply, flags.json, print)
}

type Query = { readonly [name: string]: string | number | undefined }

const status = command({
	name: 'status',
	description: 'groups, leaders, and who has which configuration',
	args: common,
	handler: (flags) => get(flags, '/v1/status', {}, printStatus),
})

const configGet = command({
	name: 'get',
	description: 'the configuration in force',
	args: common,
	handler: (flags) => get(flags, '/v1/configuration', {}, printConfiguration),
})

const configApply = command({
	name: 'apply',
	description: 'propose a configuration in place of a revision',
	args: {
		...changing,
		replaces: option({ type: number, long: 'replaces', description: 'the revision it replaces' }),
		yes: flag({ long: 'yes', description: 'move the homes that this moves' }),
		file: positional({ type: string, displayName: 'file', description: 'YAML; - reads input' }),
	},
	handler: (flags) =>
		withFile(flags.file, async (document) => {
			if (!flags.yes && (await wouldMoveHomes(flags, document))) return ExitCode.Failed
			const body = { replaces: flags.replaces, document }
			return post(flags, '/v1/configuration', body, printAnswer)
		}),
})

/** Shows the homes that a document would move; moving them takes a second look. */
async function wouldMoveHomes(flags: Common, document: string): Promise<boolean> {
	const reply = await clientFor(flags).get('/v1/configuration')
	if (!reply.ok) return false
	const { content } = (reply.value.body ?? {}) as { content?: { document?: string } }
	const moving = homesThatMove(content?.document ?? '', document)
	for (const { customer, from, to } of moving) {
		const origin = from === '' ? 'the one that follows from its name' : from
		const target = to === '' ? 'the one that follows from its name' : to
		process.stderr.write(`the home of ${customer} would move from ${origin} to ${target}\n`)
	}
	if (moving.length > 0) process.stderr.write('nothing was done; --yes confirms it\n')
	return moving.length > 0
}

const plan = command({
	name: 'plan',
	description: 'work out what an intent would move, without moving anything',
	args: {
		...changing,
		confirm: flag({ long: 'confirm', description: 'confirm the plan at once if it is possible' }),
		file: positional({ type: string, displayName: 'file', description: 'YAML; - reads input' }),
	},
	handler: (flags) =>
		withFile(flags.file, async (document) => {
			let id = ''
			const code = await post(flags, '/v1/plans', { document }, (content) => {
				printPlan(content)
				id = (content as { subject?: string }).subject ?? ''
			})
			if (!flags.confirm || code !== ExitCode.Done) return code
			const request = `${flags.request}-confirm`
			return post({ ...flags, request }, `/v1/plans/${id}/confirm`, {}, printAnswer)
		}),
})

const onPlan = (name: 'confirm' | 'reject', description: string) =>
	command({
		name,
		description,
		args: { ...changing, plan: positional({ type: string, displayName: 'plan' }) },
		handler: (flags) => post(flags, `/v1/plans/${encode(flags.plan)}/${name}`, {}, printDecision),
	})

const cancel = command({
	name: 'cancel',
	description: 'cancel what is left of an intent',
	args: { ...changing, intent: positional({ type: string, displayName: 'intent' }) },
	handler: (flags) => post(flags, `/v1/intents/${encode(flags.intent)}/cancel`, {}, printAnswer),
})

const drain = command({
	name: 'drain',
	description: 'give a worker no new work',
	args: { ...changing, worker: positional({ type: string, displayName: 'worker' }) },
	handler: (flags) => post(flags, `/v1/workers/${encode(flags.worker)}/drain`, {}, printAnswer),
})

const tasks = command({
	name: 'tasks',
	description: 'tasks and where they are',
	args: { ...common, intent: option({ type: optional(string), long: 'intent' }) },
	handler: (flags) => get(flags, '/v1/tasks', { intent: flags.intent }, printTasks),
})

const workers = command({
	name: 'workers',
	description: 'workers and what is given away of them',
	args: common,
	handler: (flags) => get(flags, '/v1/workers', {}, printWorkers),
})

const explain = command({
	name: 'explain',
	description: 'why a task waits, or why it runs where it runs',
	args: { ...common, task: positional({ type: string, displayName: 'task' }) },
	handler: (flags) => get(flags, `/v1/tasks/${encode(flags.task)}/explain`, {}, printExplanation),
})

const audit = command({
	name: 'audit',
	description: 'who did what when',
	args: {
		...common,
		system: flag({ long: 'system', description: 'the system group instead of a data centre' }),
		who: option({ type: optional(string), long: 'who' }),
		what: option({ type: optional(string), long: 'what' }),
		from: option({ type: optional(string), long: 'from', description: 'ISO 8601' }),
		to: option({ type: optional(string), long: 'to', description: 'ISO 8601' }),
	},
	handler: (flags) => {
		const { who, what } = flags
		const dataCentre = flags.system ? 'system' : flags.dataCentre
		const query = { who, what, from: moment(flags.from), to: moment(flags.to) }
		return get({ ...flags, dataCentre }, '/v1/audit', query, printAudit)
	},
})

const declare = (name: 'declare-down' | 'declare-up', description: string) =>
	command({
		name,
		description,
		args: { ...changing, subject: positional({ type: string, displayName: 'data-centre' }) },
		handler: (flags) =>
			post(flags, `/v1/data-centres/${encode(flags.subject)}/${name}`, {}, printAnswer),
	})

/** Posts a job's description to a queue of a cell with one group. */
const jobSubmit = command({
	name: 'submit',
	description: 'hand a job in under an id; the same id again remains one job',
	args: {
		...common,
		id: option({ type: string, long: 'id', description: '16 hex digits' }),
		queue: positional({ type: string, displayName: 'queue' }),
		file: positional({ type: string, displayName: 'file', description: 'JSON; - reads input' }),
	},
	handler: (flags) =>
		withFile(flags.file, async (document) => {
			const body = parseDescription(document)
			if (!body) return ExitCode.Usage
			const path = `/v1/queues/${encode(flags.queue)}/jobs/${encode(flags.id)}`
			return show(await clientFor(flags).post(path, body), flags.json, printMessage)
		}),
})

const jobList = command({
	name: 'list',
	description: 'jobs, the newest first',
	args: {
		...common,
		queue: option({ type: optional(string), long: 'queue' }),
		state: option({ type: optional(string), long: 'state' }),
		most: option({ type: optional(number), long: 'most', description: '100 by default' }),
	},
	handler: ({ queue, state, most, ...flags }) =>
		get(flags, '/v1/jobs', { queue, state, most }, printJobs),
})

const jobCommand = (name: 'show' | 'explain', description: string, print: Printer) =>
	command({
		name,
		description,
		args: { ...common, id: positional({ type: string, displayName: 'id' }) },
		handler: (flags) => get(flags, `/v1/jobs/${encode(flags.id)}`, {}, print),
	})

const jobCancel = command({
	name: 'cancel',
	description: 'cancel a job',
	args: { ...common, id: positional({ type: string, displayName: 'id' }) },
	handler: async (flags) => {
		const reply = await clientFor(flags).post(`/v1/jobs/${encode(flags.id)}/cancel`, {})
		return show(reply, flags.json, printMessage)
	},
})

function parseDescription(document: string): object | undefined {
	try {
		return JSON.parse(document) as object
	} catch (fault) {
		process.stderr.write(`the job is no JSON: ${(fault as Error).message}\n`)
		return undefined
	}
}

/** The whole command line. @public */
export const rrctl = subcommands({
	name: 'rrctl',
	version: '0.1.0',
	description: 'Operate a cell',
	cmds: {
		status,
		config: subcommands({ name: 'config', cmds: { get: configGet, apply: configApply } }),
		plan,
		confirm: onPlan('confirm', 'let a plan take effect'),
		reject: onPlan('reject', 'drop a plan'),
		cancel,
		drain,
		tasks,
		workers,
		explain,
		audit,
		jobs: subcommands({
			name: 'jobs',
			description: 'jobs of a cell with one group',
			cmds: {
				submit: jobSubmit,
				list: jobList,
				show: jobCommand('show', 'the state of a job', printJob),
				explain: jobCommand('explain', 'what each step of a job waits for', printJobSteps),
				cancel: jobCancel,
			},
		}),
		'declare-down': declare('declare-down', 'say that a data centre is down, and fence it off'),
		'declare-up': declare('declare-up', 'let a data centre that was declared down take part again'),
	},
})

function clientFor(flags: Common): OperatorClient {
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

async function withFile(file: string, act: (text: string) => Promise<ExitCode>): Promise<ExitCode> {
	let text: string
	try {
		text = readFileSync(file === '-' ? 0 : file, 'utf8')
	} catch (fault) {
		process.stderr.write(`${file}: ${(fault as Error).message}\n`)
		return ExitCode.Usage
	}
	return act(text)
}

function encode(part: string): string {
	return part.split('/').map(encodeURIComponent).join('/')
}

function moment(written: string | undefined): number | undefined {
	return written === undefined ? undefined : Date.parse(written)
}
