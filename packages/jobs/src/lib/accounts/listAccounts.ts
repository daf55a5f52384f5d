/** Lists the usage and limits of each client account for operators. */
import type { Resources } from '@rillrudder/scheduler'
import type { AccountSummary } from '../leader/callers/calls'
import type { ServiceStanding } from '../shares/AccountShares'
import { isActive, type JobRecord } from '../state/JobRecord'
import type { AccountUsage } from './AccountUsage'

/** The work of all accounts. @internal */
export interface AccountWork {
	readonly jobs: Iterable<JobRecord>
	/** Number of steps that wait for a worker, by account name. */
	readonly waiting: ReadonlyMap<string, number>
}

/**
 * @param usage - the resources that the accounts have reserved.
 * @param work - their jobs and waiting steps.
 * @param refusalCountOf - returns the number of refused jobs of an account.
 * @param total - the total capacity of all workers.
 * @param standings - each account's use of each service, where accounts have shares.
 * @returns a summary of each account, sorted by name.
 * @internal
 */
export function listAccounts(
	usage: AccountUsage,
	work: AccountWork,
	refusalCountOf: (account: string) => number,
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
				refused: refusalCountOf(name),
				services: standings
					.filter((standing) => standing.account === account)
					.map(({ service, share, held, had, over }) => ({ service, share, held, had, over })),
			}
		})
		.sort((left, right) => left.name.localeCompare(right.name))
}
