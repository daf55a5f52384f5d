/** Tells operators what each client account has and may have. */
import type { Resources } from '@rillrudder/scheduler'
import type { AccountSummary } from '../leader/callers/calls'
import type { ServiceStanding } from '../shares/AccountShares'
import { isActive, type JobRecord } from '../state/JobRecord'
import type { AccountUsage } from './AccountUsage'

/** The work of all accounts. @internal */
export interface AccountWork {
	readonly jobs: Iterable<JobRecord>
	/** Steps that wait for a place, by account name. */
	readonly waiting: ReadonlyMap<string, number>
}

/**
 * @param usage - what the accounts have reserved.
 * @param work - their jobs.
 * @param refused - how many jobs of an account were refused.
 * @param total - what all workers offer.
 * @param standings - what accounts have of each service, where they have shares of it.
 * @returns a line for each account, by name.
 * @internal
 */
export function listAccounts(
	usage: AccountUsage,
	work: AccountWork,
	refused: (account: string) => number,
	total: Resources,
	standings: readonly ServiceStanding[]
): AccountSummary[] {
	const active = [...work.jobs].filter(isActive)
	return [...usage.all()]
		.map((account) => {
			const { name, weight, quota } = account.terms
			const jobs = active.filter((job) => job.account?.name === name)
			return {
				name,
				weight,
				quota,
				share: account.weightedShareOf(total),
				used: account.used,
				jobs: jobs.length,
				beyondRate: jobs.filter((job) => job.beyondRate).length,
				waiting: work.waiting.get(name) ?? 0,
				refused: refused(name),
				services: standings
					.filter((standing) => standing.account === account)
					.map(({ service, share, held, had, over }) => ({ service, share, held, had, over })),
			}
		})
		.sort((left, right) => left.name.localeCompare(right.name))
}
