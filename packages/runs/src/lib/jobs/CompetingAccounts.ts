/**
 * Client accounts of one weight that compete for the room of a run, some of which send many times their usual. It draws from a stream of
 * its own, so that runs without accounts keep their course.
 */
import {
	digestOf,
	PLAIN_STEP,
	type ClientAccount,
	type JobRecord,
	type JobRequest,
} from '@rillrudder/jobs'
import { maxMinLevel } from '@rillrudder/scheduler'
import { Random } from '@rillrudder/utils'
import { CallerAccounts } from './CallerAccounts'

/** How accounts compete. @public */
export interface Competition {
	/** How many accounts there are. */
	readonly accounts: number
	/** Jobs a second that each sends as a rule. */
	readonly usualRate: number
	/** How many of them press. */
	readonly overloading: number
	/** Times its usual that each of these sends. */
	readonly overloadFactor: number
}

/** Jobs a second within an account's rate: more than any sends, so that shares alone order their work. */
const ACCOUNT_WEIGHT = 1000
/** Set apart from the run's own stream. */
const SEED_MASK = 0xacc7

/** @returns jobs a second that all accounts send together. @internal */
export function totalRateOf({
	accounts,
	usualRate,
	overloading,
	overloadFactor,
}: Competition): number {
	return usualRate * (accounts - overloading + overloading * overloadFactor)
}

/**
 * The accounts of a run, with what each got.
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

	/** Whether an account sends more than its usual. */
	isOverloading(name: string): boolean {
		return Number(name) < this.competition.overloading
	}

	/** @returns a job that any account might send: a few tasks of some seconds, or a gang. */
	request(random: Random): JobRequest {
		const gang = random.chance(0.2)
		const step = {
			...PLAIN_STEP,
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

/** What an account of a run asked for and got, in thousandths of processors times milliseconds. @internal */
export interface ServedWork {
	readonly account: string
	requested: number
	received: number
	jobs: number
	/** Jobs that were done within their objectives. */
	inTime: number
}

/** @returns what each account got of its jobs that were handed in before a moment, in milliseconds since the epoch. @internal */
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

/** @returns Jain's index over what accounts of one weight got of what was theirs by max-min fairness: 1 when all got as much. @internal */
export function jainIndexOf(served: readonly ServedWork[]): number {
	const capacity = served.reduce((sum, { received }) => sum + received, 0)
	const level = maxMinLevel(
		served.map(({ requested }) => ({ weight: 1, most: requested })),
		capacity
	)
	const fractions = served.map(({ requested, received }) => received / Math.min(requested, level))
	const sum = fractions.reduce((total, fraction) => total + fraction, 0)
	const squares = fractions.reduce((total, fraction) => total + fraction * fraction, 0)
	return (sum * sum) / (fractions.length * squares)
}
