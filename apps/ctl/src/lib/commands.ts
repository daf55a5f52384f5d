/** The commands of `rrctl`. */
import { ExitCode } from '@rillrudder/program'
import { command, flag, number, option, optional, positional, string, subcommands } from 'cmd-ts'
import {
	changing,
	clientFor,
	common,
	encode,
	get,
	post,
	withFile,
	type Common,
} from './commandParts'
import { homesThatMove } from './homesThatMove'
import { accounts, jobs } from './jobCommands'
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
		jobs,
		accounts,
		'declare-down': declare('declare-down', 'say that a data centre is down, and fence it off'),
		'declare-up': declare('declare-up', 'let a data centre that was declared down take part again'),
	},
})

function moment(written: string | undefined): number | undefined {
	return written === undefined ? undefined : Date.parse(written)
}
