/** Tracks the resources that each client account has reserved, to keep it within its quota. */
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
import type { LocatedTask } from '../state/JobTable'
import type { ClientAccount } from './ClientAccount'

/**
 * The accounts of a cell and the resources that they have reserved. A run counts from the decision
 * to start it until its end is committed, so that runs on unreachable workers and runs that are
 * being stopped count too.
 *
 * @internal
 */
export class AccountUsage {
	private readonly accounts = new Map<string, QuotaAccount>()

	/**
	 * @param configured - the accounts of the current configuration.
	 * @param tolerance - fraction by which a gang that runs alone may exceed its account's quota.
	 */
	constructor(
		configured: readonly ClientAccount[],
		private readonly tolerance: number
	) {
		this.configure(configured)
	}

	/** @returns all accounts that are configured or have had a job. */
	all(): IterableIterator<QuotaAccount> {
		return this.accounts.values()
	}

	/**
	 * Applies the accounts of a new configuration. A removed account keeps its terms for its
	 * remaining jobs.
	 */
	configure(accounts: readonly ClientAccount[]): void {
		for (const terms of accounts) {
			const known = this.accounts.get(terms.name)
			if (known) known.terms = terms
			else this.accounts.set(terms.name, new QuotaAccount(terms))
		}
	}

	/**
	 * @returns whether the quota allows a step to start its next task or gang; one larger than the
	 * quota may run alone.
	 */
	canStart(account: QuotaAccount | undefined, step: Step): boolean {
		if (!account || account.allows(concurrentNeedOf(step))) return true
		return isIdle(account) && canRunAlone(step, account.terms, this.tolerance)
	}

	/**
	 * A quota may be reduced after a run was decided and before its worker starts it.
	 *
	 * @returns whether a run that is counted, but not yet confirmed by its worker, may still start.
	 */
	canContinue(account: QuotaAccount | undefined, step: Step): boolean {
		if (!account) return true
		const others = minus(account.used, concurrentNeedOf(step))
		return isWithinQuota(others, account.terms.quota)
	}

	/**
	 * Counts an abandoned run that may still be running, or a run on a worker where none is
	 * expected.
	 */
	countAbandonedRun(place: LocatedTask | undefined): CountedRun | undefined {
		const account = place && this.accountOf(place.job)
		if (!account) return undefined
		const amount = quotaUsageOf(place.job.request.steps[place.name.step])
		account.addUsage(amount)
		return { account, amount }
	}

	/** @returns the account of a job; undefined for a job without account. */
	accountOf({ account }: JobRecord): QuotaAccount | undefined {
		if (!account) return undefined
		const known = this.accounts.get(account.name) ?? new QuotaAccount(account)
		this.accounts.set(account.name, known)
		return known
	}
}

/**
 * @returns the resources that a task of a step uses of its account's quota: its whole need,
 * including capacity that others leave unused.
 * @internal
 */
export function quotaUsageOf(step: Step): Resources {
	return step.need
}

/** The quota usage of an abandoned run that may still be running. @internal */
export interface CountedRun {
	readonly account: QuotaAccount
	readonly amount: Resources
}

/**
 * A gang runs as a whole or not at all, so a gang that exceeds its account's quota could never run.
 *
 * @param job - the submitted job.
 * @param terms - the terms of its account.
 * @param tolerance - fraction by which a gang that runs alone may exceed the quota, in addition to
 * one task.
 * @returns why the job could never run; undefined if it can.
 * @internal
 */
export function explainQuotaExcess(
	job: JobRequest,
	terms: QuotaTerms,
	tolerance: number
): string | undefined {
	const number = job.steps.findIndex((step) => !canRunAlone(step, terms, tolerance))
	return number < 0 ? undefined : `the gang of step ${number} exceeds the quota of its account`
}

/** @returns whether the task or gang that a step starts may run alone; a single task always may. */
function canRunAlone(step: Step, { quota }: QuotaTerms, tolerance: number): boolean {
	if (!step.gang || !quota) return true
	return isWithinQuota(times(quotaUsageOf(step), step.count - 1), scaleQuota(quota, 1 + tolerance))
}

/** @returns the need of what a step starts at once: one task, or a whole gang. */
function concurrentNeedOf(step: Step): Resources {
	return step.gang ? times(quotaUsageOf(step), step.count) : quotaUsageOf(step)
}

function isIdle({ used }: QuotaAccount): boolean {
	return used.cpu <= 0 && used.memory <= 0 && used.accelerators <= 0
}
