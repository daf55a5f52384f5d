/** What a task claims: capacity on its worker and part of its account's quota. */
import type { Ledger, QuotaAccount, Resources } from '@rillrudder/scheduler'
import { quotaUsageOf } from '../../accounts/AccountUsage'
import type { Step } from '../../records/Job'
import type { JobRecord } from '../../state/JobRecord'

/** @returns the resources that a task of a step claims on its worker. @internal */
export function reservedResourcesOf(step: Step): Resources {
	return step.bestEffort ? { ...step.need, cpu: 0 } : step.need
}

/** The claim of one task. @internal */
export interface ResourceClaim {
	readonly step: Step
	/** See {@link reservedResourcesOf}. */
	readonly need: Resources
	/** The service whose workers run it. */
	readonly service: string
	/** Whether it has the highest priority at its service. */
	readonly urgent: boolean
	/** The account of its job; undefined for none. */
	readonly account: QuotaAccount | undefined
}

/**
 * @param service - the service of its worker, which the job's queue may have left.
 * @returns the claim of a task of a step of a job.
 * @internal
 */
export function claimOf(
	{ request }: JobRecord,
	number: number,
	service: string,
	urgent: boolean,
	account: QuotaAccount | undefined
): ResourceClaim {
	const step = request.steps[number]
	return { step, need: reservedResourcesOf(step), service, urgent, account }
}

/**
 * Claims capacity and quota for a task.
 *
 * @returns whether the worker had enough free capacity; otherwise nothing is claimed.
 * @internal
 */
export function tryClaim(
	ledger: Ledger,
	worker: string,
	{ step, need, service, urgent, account }: ResourceClaim
): boolean {
	if (!ledger.reserve(worker, need, urgent)) return false
	account?.addUsage(quotaUsageOf(step))
	account?.reserve(service, need)
	return true
}

/** Restores the claim of a task that an earlier leader placed. @internal */
export function restoreClaim(
	ledger: Ledger,
	worker: string,
	{ step, need, service, urgent, account }: ResourceClaim
): void {
	ledger.restore(worker, need, urgent)
	account?.addUsage(quotaUsageOf(step))
	account?.reserve(service, need)
}

/** Releases the claim of a task. @internal */
export function releaseClaim(
	ledger: Ledger,
	worker: string,
	{ step, need, service, urgent, account }: ResourceClaim
): void {
	ledger.release(worker, need, urgent)
	account?.subtractUsage(quotaUsageOf(step))
	account?.release(service, need)
}
