/**
 * Client accounts of equal weight that compete for the capacity of a run, some of which submit many
 * times their usual rate. They have a random generator of their own, so that the course of runs
 * without accounts does not change.
 */
import {
	digestOf,
	DEFAULT_STEP,
	type ClientAccount,
	type JobRecord,
	type JobRequest,
} from '@rillrudder/jobs'
import { maxMinLevel } from '@rillrudder/scheduler'
import { Random } from '@rillrudder/utils'
import { CallerAccounts } from './CallerAccounts'

/** The number of competing accounts and their load. @public */
export interface Competition {
	/** Number of accounts. */
	readonly accounts: number
	/** Jobs per second that each account usually submits. */
	readonly usualRate: number
	/** Number of accounts that submit more than usual. */
	readonly overloading: number
	/** Factor by which each of these exceeds its usual rate. */
	readonly overloadFactor: number
}

/**
 * Weight of an account: its rate limit in jobs per second exceeds any load, so that only shares
 * order the work.
 */
const ACCOUNT_WEIGHT = 1000
/** Makes the seed of the accounts' random generator from that of the run. */
const SEED_MASK = 0xacc7

/** @returns the jobs per second that all accounts submit together. @internal */
export function totalRateOf({
	accounts,
	usualRate,
	overloading,
	overloadFactor,
}: Competition): number {
	return usualRate * (accounts - overloading + overloading * overloadFactor)
}

/**
 * Competing client accounts of equal weight.
 *
 * @internal
 */
export class CompetingAccounts extends CallerAccounts {
	private readonly random: Random
	private readonly owners = new Map<string, string>()

	constructor(
		seed: number,
		private readonly competition: Competition
	) {
		super()
		this.random = new Random(seed ^ SEED_MASK)
	}

	/** Whether an account submits more than its usual rate. */
	isOverloading(name: string): boolean {
		return Number(name) < this.competition.overloading
	}

	/** @returns a random job of any account: a few tasks of up to two seconds, or a gang. */
	request(random: Random): JobRequest {
		const gang = random.chance(0.2)
		const step = {
			...DEFAULT_STEP,
			count: gang ? random.integer(3, 6) : random.integer(1, 4),
			need: { cpu: random.integer(500, 1500), memory: random.integer(128, 1500), accelerators: 0 },
			expectedTime: random.integer(500, 2000),
			gang,
		}
		return { spec: 'text', steps: [step] }
	}

	override nextAccounts(): ClientAccount[] {
		return this.names().map((name) => ({
			name,
			weight: ACCOUNT_WEIGHT,
			keyDigests: [digestOf(name)],
		}))
	}

	override keyDigestFor(id: string): string {
		const owner = this.owners.get(id) ?? this.pickOwner()
		this.owners.set(id, owner)
		return digestOf(owner)
	}

	override onConfirmed(): void {}
	override changeIfDue(): boolean {
		return false
	}
	override liftQuotas(): void {}
	override onRunStarted(): void {}
	override onRunEnded(): void {}

	private pickOwner(): string {
		const { overloading, overloadFactor, accounts } = this.competition
		const at = this.random.integer(0, accounts - overloading + overloading * overloadFactor - 1)
		const overloader = Math.floor(at / overloadFactor)
		return String(overloader < overloading ? overloader : at - overloading * (overloadFactor - 1))
	}

	private names(): string[] {
		return Array.from({ length: this.competition.accounts }, (_, number) => String(number))
	}
}

/**
 * The work that an account requested and received, in thousandths of processors times milliseconds.
 * @internal
 */
export interface ServedWork {
	readonly account: string
	requested: number
	received: number
	jobs: number
	/** Number of jobs that were completed within their latency objective. */
	inTime: number
}

/**
 * @param jobs - all jobs of a run.
 * @param until - work counts as received if its job ended by then, in milliseconds since the epoch.
 * @returns the work that each account requested and received.
 * @internal
 */
export function servedWorkOf(jobs: Iterable<JobRecord>, until: number): ServedWork[] {
	const served = new Map<string, ServedWork>()
	for (const job of jobs) {
		const account = job.account?.name ?? ''
		const entry = served.get(account) ?? { account, requested: 0, received: 0, jobs: 0, inTime: 0 }
		served.set(account, entry)
		const [{ count, need, expectedTime }] = job.request.steps
		const work = count * need.cpu * expectedTime
		const done = job.ended > 0 && job.ended <= until
		const objective = job.queue.latencyTarget + job.queue.stretch * expectedTime
		entry.requested += work
		entry.received += done ? work : 0
		entry.jobs += 1
		entry.inTime += done && job.ended - job.submitted <= objective ? 1 : 0
	}
	return [...served.values()]
}

/**
 * @returns Jain's fairness index over the fraction that each account of equal weight received of
 * its max-min fair share: 1 if all fractions are equal.
 * @internal
 */
export function jainIndexOf(served: readonly ServedWork[]): number {
	const capacity = served.reduce((sum, { received }) => sum + received, 0)
	const level = maxMinLevel(
		served.map(({ requested }) => ({ weight: 1, maxUse: requested })),
		capacity
	)
	const fractions = served.map(({ requested, received }) => received / Math.min(requested, level))
	const sum = fractions.reduce((total, fraction) => total + fraction, 0)
	const squares = fractions.reduce((total, fraction) => total + fraction * fraction, 0)
	return (sum * sum) / (fractions.length * squares)
}
