/** What each client account has running, so that none has more than its quota. */
import {
	isWithinQuota,
	minus,
	QuotaAccount,
	scaleQuota,
	times,
	type QuotaTerms,
	type Resources,
} from '@rillrudder/scheduler'
import type { JobRequest, Step } from '../records/Job'
import type { JobRecord } from '../state/JobRecord'
import type { TaskPlace } from '../state/JobTable'
import type { ClientAccount } from './ClientAccount'

/**
 * The accounts of a cell with what they have reserved. A run counts from its decision until its end is committed, so
 * that what may still run on a worker out of reach, and what is being stopped, counts too.
 *
 * @internal
 */
export class AccountUsage {
	private readonly accounts = new Map<string, QuotaAccount>()

	/**
	 * @param configured - the accounts in force at the beginning.
	 * @param tolerance - share of its quota by which an account's gang that runs by itself may go beyond it.
	 */
	constructor(
		configured: readonly ClientAccount[],
		private readonly tolerance: number
	) {
		this.configure(configured)
	}

	/** All accounts that are configured or have had a job. */
	all(): IterableIterator<QuotaAccount> {
		return this.accounts.values()
	}

	/** These accounts are in force from now on. One that is gone keeps its terms for the jobs that it has. */
	configure(accounts: readonly ClientAccount[]): void {
		for (const terms of accounts) {
			const known = this.accounts.get(terms.name)
			if (known) known.terms = terms
			else this.accounts.set(terms.name, new QuotaAccount(terms))
		}
	}

	/** @returns whether a step may begin what it begins at a time; what is larger than the quota may run by itself. */
	mayBegin(account: QuotaAccount | undefined, step: Step): boolean {
		if (!account || account.allows(begunAtATime(step))) return true
		return isIdle(account) && fitsAlone(step, account.terms, this.tolerance)
	}

	/**
	 * A quota may be cut after a run was decided and before its worker begins it.
	 *
	 * @returns whether a run that is counted, and whose worker has not confirmed it, may still begin.
	 */
	mayGoOn(account: QuotaAccount | undefined, step: Step): boolean {
		if (!account) return true
		const others = minus(account.used, begunAtATime(step))
		return isWithinQuota(others, account.terms.quota)
	}

	/** Counts a run that is given up and may still go on, or is found where it should not be. */
	countGivenUp(place: TaskPlace | undefined): CountedRun | undefined {
		const account = place && this.of(place.job)
		if (!account) return undefined
		const amount = countedFor(place.job.request.steps[place.name.step])
		account.addUsage(amount)
		return { account, amount }
	}

	/** @returns the account of a job; undefined for one that belongs to none. */
	of({ account }: JobRecord): QuotaAccount | undefined {
		if (!account) return undefined
		const known = this.accounts.get(account.name) ?? new QuotaAccount(account)
		this.accounts.set(account.name, known)
		return known
	}
}

/** @returns what a task of a step counts as against its account's quota: all it asks for, also what it takes of others' leftovers. @internal */
export function countedFor(step: Step): Resources {
	return step.need
}

/** What a run that is given up, and may still go on, counts as against its account's quota. @internal */
export interface CountedRun {
	readonly account: QuotaAccount
	readonly amount: Resources
}

/**
 * A gang runs whole or not at all, so one that is beyond its account's quota never could.
 *
 * @param job - a job that is handed in.
 * @param terms - its account's.
 * @param tolerance - share of the quota by which a gang that runs by itself may go beyond it, besides one task.
 * @returns why it could never run; undefined when it could.
 * @internal
 */
export function whyBeyondQuota(
	job: JobRequest,
	terms: QuotaTerms,
	tolerance: number
): string | undefined {
	const number = job.steps.findIndex((step) => !fitsAlone(step, terms, tolerance))
	return number < 0 ? undefined : `the gang of step ${number} is beyond the quota of its account`
}

/** Whether what a step begins at a time may run by itself; a single task always may. */
function fitsAlone(step: Step, { quota }: QuotaTerms, tolerance: number): boolean {
	if (!step.gang || !quota) return true
	return isWithinQuota(times(countedFor(step), step.count - 1), scaleQuota(quota, 1 + tolerance))
}

/** What a step begins at a time: one task, or all of a gang. */
function begunAtATime(step: Step): Resources {
	return step.gang ? times(countedFor(step), step.count) : countedFor(step)
}

function isIdle({ used }: QuotaAccount): boolean {
	return used.cpu <= 0 && used.memory <= 0 && used.accelerators <= 0
}
