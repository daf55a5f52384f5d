/**
 * Client accounts of one weight that compete for the room of a run, some of which send many times their usual. It draws from a stream of
 * its own, so that runs without accounts keep their course.
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

/** How accounts compete. @public */
export interface Competition {
	/** How many accounts there are. */
	readonly accounts: number
	/** Jobs a second that each sends as a rule. */
	readonly usual: number
	/** How many of them press. */
	readonly pressing: number
	/** Times its usual that each of these sends. */
	readonly times: number
}

/** Jobs a second within an account's rate: more than any sends, so that shares alone order their work. */
const WEIGHT = 1000
/** Set apart from the run's own stream. */
const STREAM = 0xacc7

/** @returns jobs a second that all accounts send together. @internal */
export function rateOf({ accounts, usual, pressing, times }: Competition): number {
	return usual * (accounts - pressing + pressing * times)
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
		this.random = new Random(seed ^ STREAM)
	}

	/** Whether an account sends more than its usual. */
	presses(name: string): boolean {
		return Number(name) < this.competition.pressing
	}

	/** @returns a job that any account might send: a few tasks of some seconds, or a gang. */
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

	override send(): ClientAccount[] {
		return this.names().map((name) => ({ name, weight: WEIGHT, keyDigests: [digestOf(name)] }))
	}

	override owned(id: string): string {
		const owner = this.owners.get(id) ?? this.pick()
		this.owners.set(id, owner)
		return digestOf(owner)
	}

	override confirmed(): void {}
	override change(): boolean {
		return false
	}
	override lift(): void {}
	override began(): void {}
	override ended(): void {}

	private pick(): string {
		const { pressing, times, accounts } = this.competition
		const at = this.random.integer(0, accounts - pressing + pressing * times - 1)
		const pressed = Math.floor(at / times)
		return String(pressed < pressing ? pressed : at - pressing * (times - 1))
	}

	private names(): string[] {
		return Array.from({ length: this.competition.accounts }, (_, number) => String(number))
	}
}

/** What an account of a run asked for and got, in thousandths of processors times milliseconds. @internal */
export interface Served {
	readonly account: string
	asked: number
	got: number
	jobs: number
	/** Jobs that were done within their objectives. */
	inTime: number
}

/** @returns what each account got of its jobs that were handed in before a moment, in milliseconds since the epoch. @internal */
export function servedOf(jobs: Iterable<JobRecord>, until: number): Served[] {
	const served = new Map<string, Served>()
	for (const job of jobs) {
		const account = job.account?.name ?? ''
		const entry = served.get(account) ?? { account, asked: 0, got: 0, jobs: 0, inTime: 0 }
		served.set(account, entry)
		const [{ count, need, expectedTime }] = job.request.steps
		const work = count * need.cpu * expectedTime
		const done = job.ended > 0 && job.ended <= until
		const objective = job.queue.latencyTarget + job.queue.stretch * expectedTime
		entry.asked += work
		entry.got += done ? work : 0
		entry.jobs += 1
		entry.inTime += done && job.ended - job.submitted <= objective ? 1 : 0
	}
	return [...served.values()]
}

/** @returns Jain's index over what accounts of one weight got of what was theirs by max-min fairness: 1 when all got as much. @internal */
export function fairnessOf(served: readonly Served[]): number {
	const room = served.reduce((sum, { got }) => sum + got, 0)
	const level = maxMinLevel(
		served.map(({ asked }) => ({ weight: 1, maxUse: asked })),
		room
	)
	const parts = served.map(({ asked, got }) => got / Math.min(asked, level))
	const sum = parts.reduce((total, part) => total + part, 0)
	const squares = parts.reduce((total, part) => total + part * part, 0)
	return (sum * sum) / (parts.length * squares)
}
