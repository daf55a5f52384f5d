/**
 * The client accounts of a run: keys are replaced, quotas are cut and raised, and the tasks of each
 * account that run on workers are recorded to check its quota. It has a random generator of its
 * own, so that the course of runs without accounts does not change.
 */
import { digestOf, parseTaskName, type ClientAccount, type JobRequest } from '@rillrudder/jobs'
import {
	isWithinQuota,
	minus,
	NO_RESOURCES,
	plus,
	type Quota,
	type Resources,
} from '@rillrudder/scheduler'
import { invariant, Random } from '@rillrudder/utils'
import { CallerAccounts } from './CallerAccounts'
import type { ObservedRun } from './JobInvariants'

/**
 * Milliseconds after the confirmation of a new quota for which the previous one may still be
 * applied.
 */
const OLD_QUOTA_VALID_MS = 2500
/** Mean time between two configurations. */
const CHANGE_INTERVAL_MS = 3000
/** Share of jobs submitted with a key that belongs to no account. */
const UNKNOWN_KEY_SHARE = 0.1
/** Quotas in thousandths of a processor; the fleet of a run has 48,000. */
const CPU_QUOTAS = [3000, 6000, 12_000] as const
const ACCOUNT_NAMES = ['town', 'city', 'village'] as const
/** More than the fleet of a run has, in thousandths of a processor. */
const UNLIMITED_CPU = 1_000_000
/** Makes the seed of the accounts' random generator from that of the run. */
const SEED_MASK = 0x5eed

interface QuotaTerm {
	readonly quota: Quota
	/** When a later quota was confirmed; infinite before. */
	supersededAt: number
}

interface OwnedJob {
	/** Index of the account that submitted the job; undefined for a caller without a valid key. */
	readonly owner: number | undefined
	readonly request: JobRequest
	readonly key: string
}

/**
 * Client accounts whose keys and quotas change.
 *
 * @internal
 */
export class RunAccounts extends CallerAccounts {
	private readonly random: Random
	private readonly quotas: number[] = ACCOUNT_NAMES.map(() => CPU_QUOTAS[1])
	private readonly keyGenerations: number[] = ACCOUNT_NAMES.map(() => 0)
	/** All quotas that were ever sent, by account. */
	private readonly quotaTerms: QuotaTerm[][] = ACCOUNT_NAMES.map(() => [])
	private readonly jobs = new Map<string, OwnedJob>()
	/** Running tasks, by worker and task name. */
	private readonly running = new Map<string, { owner: number; amount: Resources }>()
	private changeAt = CHANGE_INTERVAL_MS

	/** @param seed - the seed of the run. */
	constructor(seed: number) {
		super()
		this.random = new Random(seed ^ SEED_MASK)
	}

	override nextAccounts(): ClientAccount[] {
		return ACCOUNT_NAMES.map((name, index) => {
			const quota = { cpu: this.quotas[index] }
			this.quotaTerms[index].push({ quota, supersededAt: Number.POSITIVE_INFINITY })
			return { name, weight: 2, quota, keyDigests: [digestOf(this.keyOf(index))] }
		})
	}

	override onConfirmed(now: number): void {
		for (const terms of this.quotaTerms) {
			for (const term of terms.slice(0, -1)) term.supersededAt = Math.min(term.supersededAt, now)
		}
	}

	override changeIfDue(now: number): boolean {
		if (now < this.changeAt) return false
		this.changeAt = now + this.random.exponential(CHANGE_INTERVAL_MS)
		const index = this.random.integer(0, ACCOUNT_NAMES.length - 1)
		if (this.random.chance(0.3)) this.keyGenerations[index] += 1
		else this.quotas[index] = this.random.pick(CPU_QUOTAS)
		return true
	}

	override liftQuotas(): void {
		this.quotas.fill(UNLIMITED_CPU)
	}

	override keyDigestFor(id: string, request: JobRequest): string {
		const known = this.jobs.get(id)
		if (known) return digestOf(known.key)
		const hasUnknownKey = this.random.chance(UNKNOWN_KEY_SHARE)
		const owner = this.random.integer(0, ACCOUNT_NAMES.length - 1)
		const key = hasUnknownKey ? 'nobody' : this.keyOf(owner)
		this.jobs.set(id, { owner: hasUnknownKey ? undefined : owner, request, key })
		return digestOf(key)
	}

	override onRunStarted(worker: string, { task, isLate }: ObservedRun, now: number): void {
		const name = parseTaskName(task)
		const job = name && this.jobs.get(name.job)
		if (!name || !job) return
		invariant(job.owner !== undefined, 'nothing runs for a caller without a key', { task })
		const amount = job.request.steps[name.step].need
		this.running.set(`${worker} ${task}`, { owner: job.owner, amount })
		if (!isLate) this.checkQuota(job.owner, amount, now, task)
	}

	override onRunEnded(worker: string, task: string): void {
		this.running.delete(`${worker} ${task}`)
	}

	/**
	 * Checks that an account was within the highest quota that may be in force before its task
	 * started.
	 */
	private checkQuota(owner: number, amount: Resources, now: number, task: string): void {
		let used = NO_RESOURCES
		for (const run of this.running.values()) if (run.owner === owner) used = plus(used, run.amount)
		const inForce = this.quotaTerms[owner].filter(
			({ supersededAt }) => now - supersededAt <= OLD_QUOTA_VALID_MS
		)
		const isWithin = inForce.some(({ quota }) => isWithinQuota(minus(used, amount), quota))
		const where = { account: ACCOUNT_NAMES[owner], task, used: used.cpu }
		invariant(isWithin, 'no account has more running than its quota', where)
	}

	private keyOf(index: number): string {
		return `${ACCOUNT_NAMES[index]}-${this.keyGenerations[index]}`
	}
}
