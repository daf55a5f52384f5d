/** Prints jobs for people. */
import type { AccountSummary, JobExplanation, JobSummary, ServiceUse } from '@rillrudder/jobs'
import { Delay, type LateJob } from './lateJobs'
import { table } from './output'

const JOB_HEAD = ['job', 'account', 'queue', 'state', 'submitted', 'took', 'done']

const LOSS_HEAD = ['task', 'suspicion', 'workers that crashed under it', 'silent workers']

/** Thousandths in one processor. */
const MILLI = 1000

/** Prints that something was done. @internal */
export function printMessage(): void {
	process.stdout.write('done\n')
}

/** Prints a list of jobs. @internal */
export function printJobs(content: unknown): void {
	table(JOB_HEAD, (content as JobSummary[]).map(rowOf))
}

/** Prints one job. @internal */
export function printJob(content: unknown): void {
	table(JOB_HEAD, [rowOf(content as JobSummary)])
}

/** Prints what each step of a job waits for. @internal */
export function printJobSteps(content: unknown): void {
	const { steps, term, configuration } = content as JobExplanation
	printJob(content)
	process.stdout.write(`as the leader of term ${term} sees it, configuration ${configuration}\n`)
	const rows = steps.map((step) => [
		step.step,
		`${step.done}/${step.tasks}`,
		step.placed,
		step.waiting,
		step.failures,
		Object.entries(step.workers)
			.map(([worker, count]) => `${worker} (${count})`)
			.join(' '),
		step.reason,
	])
	table(['step', 'done', 'placed', 'waiting', 'failed runs', 'workers', 'why it waits'], rows)
	const losses = steps.flatMap((step) =>
		step.losses.map(({ index, suspicion, crashed, silent }) => [
			`${step.step}.${index}`,
			suspicion,
			crashed.join(' '),
			silent.join(' '),
		])
	)
	if (losses.length > 0) table(LOSS_HEAD, losses)
}

/** Stands for a share of nothing, so that what is held can be compared with it. */
const LEAST_SHARE = 0.001

const ACCOUNT_HEAD = [
	'account',
	'weight',
	'share',
	'processors',
	'memory',
	'accelerators',
	'jobs',
	'beyond rate',
	'steps waiting',
	'refused',
	'may count on',
	'holds',
	'had',
	'over its share',
]

/** Prints client accounts; amounts as used of quota. @internal */
export function printAccounts(content: unknown): void {
	const rows = (content as AccountSummary[]).map((account) => {
		const { used, quota = {} } = account
		return [
			account.name,
			account.weight,
			account.share.toFixed(3),
			usedOf(used.cpu / MILLI, quota.cpu && quota.cpu / MILLI),
			usedOf(used.memory, quota.memory),
			usedOf(used.accelerators, quota.accelerators),
			account.jobs,
			account.beyondRate,
			account.waiting,
			account.refused,
			...sharesOf(account),
		]
	})
	table(ACCOUNT_HEAD, rows)
}

/** Of the service where the account has most of what it may count on; the services where it is over its share. */
function sharesOf({ services = [] }: AccountSummary): string[] {
	if (services.length === 0) return ['', '', '', '']
	const tightness = ({ held, share }: ServiceUse): number => held / Math.max(LEAST_SHARE, share)
	const tightest = services.reduce((left, right) =>
		tightness(right) > tightness(left) ? right : left
	)
	const over = services.filter((use) => use.over).map(({ service }) => service)
	const { share, held, had } = tightest
	return [...[share, held, had].map((part) => part.toFixed(3)), over.join(' ')]
}

function usedOf(used: number, quota: number | undefined): string {
	return quota === undefined ? `${Math.round(used)}` : `${Math.round(used)}/${Math.round(quota)}`
}

/** Prints late jobs, and how many each cause delayed. @internal */
export function printLateJobs(late: readonly LateJob[]): void {
	table(
		['job', 'ended', 'took', 'delayed by'],
		late.map(({ job, ended, took, delay }) => [job, ended, `${took} ms`, delay])
	)
	const counts = Object.values(Delay).map((delay) => {
		const count = late.filter((one) => one.delay === delay).length
		return `${delay} ${count}`
	})
	process.stdout.write(`${late.length} late: ${counts.join(', ')}\n`)
}

function rowOf({ id, account, queue, state, submitted, ended, tasks, done }: JobSummary) {
	const took = ended > 0 ? `${ended - submitted} ms` : ''
	return [id, account, queue, state, new Date(submitted).toISOString(), took, `${done}/${tasks}`]
}
