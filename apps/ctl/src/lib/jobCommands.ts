/** The commands of `rrctl jobs`. */
import { ExitCode } from '@rillrudder/program'
import { command, number, option, optional, positional, string, subcommands } from 'cmd-ts'
import { clientFor, common, encode, get, withFile } from './commandParts'
import {
	printAccounts,
	printJob,
	printJobs,
	printJobSteps,
	printLateJobs,
	printMessage,
} from './jobPrinters'
import { lateJobs } from './lateJobs'
import { show, type Printer } from './output'

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

const jobLate = command({
	name: 'late',
	description: 'which jobs were late, and what delayed them, from the lines of the logs',
	args: {
		file: positional({
			type: string,
			displayName: 'file',
			description: 'log lines; - reads input',
		}),
		over: option({
			type: optional(number),
			long: 'over',
			description: 'milliseconds from which a job counts as late, in place of its objective',
		}),
		priority: option({ type: optional(number), long: 'priority' }),
		json: common.json,
	},
	handler: ({ file, over, priority, json }) =>
		withFile(file, (text) => {
			const late = lateJobs(text.split('\n'), { over, priority })
			if (json) process.stdout.write(`${JSON.stringify(late)}\n`)
			else printLateJobs(late)
			return Promise.resolve(ExitCode.Done)
		}),
})

function parseDescription(document: string): object | undefined {
	try {
		return JSON.parse(document) as object
	} catch (fault) {
		process.stderr.write(`the job is no JSON: ${(fault as Error).message}\n`)
		return undefined
	}
}

/** Client accounts of a cell with one group. @internal */
export const accounts = command({
	name: 'accounts',
	description: 'share, use, quota, and waiting and refused work of each client account',
	args: common,
	handler: (flags) => get(flags, '/v1/accounts', {}, printAccounts),
})

/** Jobs of a cell with one group. @internal */
export const jobs = subcommands({
	name: 'jobs',
	description: 'jobs of a cell with one group',
	cmds: {
		submit: jobSubmit,
		list: jobList,
		show: jobCommand('show', 'the state of a job', printJob),
		explain: jobCommand('explain', 'what each step of a job waits for', printJobSteps),
		cancel: jobCancel,
		late: jobLate,
	},
})
