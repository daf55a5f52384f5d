/** How each kind of reply looks to people. */
import { table } from './output'

interface Status {
	readonly instance: string
	readonly dataCentre: string
	readonly revision: number
	readonly revisions: { readonly [process: string]: number }
	readonly instances: readonly string[]
	readonly connected: readonly string[]
	readonly groups: readonly {
		name: string
		role: string
		term: number
		leader: string
		commit: number
		members: { id: string; voter: boolean; durable: boolean }[]
	}[]
}

/** The state of one instance and what it knows of the others. */
export function printStatus(content: unknown): void {
	const status = content as Status
	const { instance, dataCentre, revision } = status
	process.stdout.write(`${instance} in ${dataCentre}, configuration ${revision}\n\n`)
	table(
		['GROUP', 'ROLE', 'TERM', 'LEADER', 'COMMIT', 'MEMBERS'],
		status.groups.map((group) => [
			group.name,
			group.role,
			group.term,
			group.leader,
			group.commit,
			group.members.map((one) => (one.voter ? one.id : `${one.id} (learner)`)).join(' '),
		])
	)
	process.stdout.write('\n')
	const processes = new Set([...status.instances, ...Object.keys(status.revisions)])
	table(
		['PROCESS', 'CONFIGURATION', 'LINK'],
		[...processes].sort().map((one) => [one, status.revisions[one] ?? '?', linkOf(status, one)])
	)
}

/** The configuration document. */
export function printConfiguration(content: unknown): void {
	const { revision, document } = content as { revision: number; document: string }
	process.stdout.write(`# revision ${revision}\n${document}`)
	if (!document.endsWith('\n')) process.stdout.write('\n')
}

/** What became of a proposal or another command. */
export function printAnswer(content: unknown): void {
	const answer = (content ?? {}) as {
		message?: string
		subject?: string
		revision?: number
		current?: { revision: number; document: string }
	}
	const revision = answer.revision === undefined ? '' : ` (revision ${answer.revision})`
	if (answer.message)
		process.stdout.write(`${answer.subject ?? ''}: ${answer.message}${revision}\n`)
	if (answer.current) printConfiguration(answer.current)
}

interface PlanContent {
	readonly plan?: {
		readonly id: string
		readonly steps: readonly { action: string; task: string; where: string; why: string }[]
		readonly impossible: readonly string[]
	}
}

/** A plan, step by step. */
export function printPlan(content: unknown): void {
	const { plan } = (content ?? {}) as PlanContent
	if (!plan) {
		printAnswer(content)
		return
	}
	process.stdout.write(`plan ${plan.id}\n`)
	for (const reason of plan.impossible) process.stdout.write(`impossible: ${reason}\n`)
	if (plan.steps.length === 0) return
	table(
		['ACTION', 'TASKS', 'WHERE', 'WHY'],
		plan.steps.map((step) => [step.action, step.task, step.where, step.why])
	)
}

/** What became of a plan; a stale one comes with a fresh one to look at. */
export function printDecision(content: unknown): void {
	printAnswer(content)
	const { plan } = (content ?? {}) as { plan?: { phase: string } }
	if (plan?.phase === 'proposed') printPlan(content)
}

/** The tasks of an intent, or all. */
export function printTasks(content: unknown): void {
	const tasks = content as {
		id: string
		team: string
		kind: string
		phase: string
		worker: string
	}[]
	table(
		['TASK', 'TEAM', 'KIND', 'PHASE', 'WORKER'],
		tasks.map((task) => [task.id, task.team, task.kind, task.phase, task.worker])
	)
}

/** Why a task is where it is. */
export function printExplanation(content: unknown): void {
	const told = content as {
		id: string
		phase: string
		worker: string
		waiting?: string
		history: string[]
	}
	const where = told.worker === '' ? '' : ` on ${told.worker}`
	const why = told.waiting === undefined ? '' : `, because: ${told.waiting}`
	process.stdout.write(`${told.id} is ${told.phase}${where}${why}\n`)
	for (const line of told.history) process.stdout.write(`  ${line}\n`)
}

/** Workers and what is given away of them. */
export function printWorkers(content: unknown): void {
	const workers = content as {
		id: string
		rack: string
		state: string
		reason: string
		capacity: { cpu: number; memory: number; accelerators: number }
		reserved: { cpu: number; memory: number; accelerators: number }
		slots: number
		lent: number
		taken: number
	}[]
	table(
		['WORKER', 'RACK', 'STATE', 'CPU', 'MEMORY', 'ACCELERATORS', 'SLOTS', 'REASON'],
		workers.map((one) => [
			one.id,
			one.rack,
			one.state,
			`${one.reserved.cpu}/${one.capacity.cpu}m`,
			`${one.reserved.memory}/${one.capacity.memory}Mi`,
			`${one.reserved.accelerators}/${one.capacity.accelerators}`,
			`${one.lent + one.taken}/${one.slots}`,
			one.reason,
		])
	)
}

/** Who did what when. */
export function printAudit(content: unknown): void {
	const records = content as {
		index: number
		at: number
		who: string
		what: string
		subject: string
		outcome: string
	}[]
	table(
		['INDEX', 'AT', 'WHO', 'WHAT', 'SUBJECT', 'OUTCOME'],
		records.map((one) => [
			one.index,
			new Date(one.at).toISOString(),
			one.who,
			one.what,
			one.subject,
			one.outcome,
		])
	)
}

function linkOf(status: Status, process: string): string {
	if (process === status.instance) return 'self'
	return status.connected.includes(process) ? 'up' : 'down'
}
