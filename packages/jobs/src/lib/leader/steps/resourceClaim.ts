/** What a task takes: room on its worker, and a part of its account's quota. */
import type { Ledger, QuotaAccount, Resources } from '@rillrudder/scheduler'
import { countedFor } from '../../accounts/AccountUsage'
import type { Step } from '../../records/Job'
import type { JobRecord } from '../../state/JobRecord'

/** @returns what is reserved on its worker for a task of a step. @internal */
export function reservedResourcesOf(step: Step): Resources {
	return step.bestEffort ? { ...step.need, cpu: 0 } : step.need
}

/** A task that takes room, with what it takes. @internal */
export interface ResourceClaim {
	readonly step: Step
	/** See {@link reservedResourcesOf}. */
	readonly need: Resources
	/** The service at whose workers it runs. */
	readonly service: string
	/** Whether it is of the highest priority. */
	readonly urgent: boolean
	/** The account of its job; undefined for none. */
	readonly account: QuotaAccount | undefined
}

/** @returns what a task of a job's step claims. @internal */
export function claimOf(
	{ request, queue }: JobRecord,
	number: number,
	urgent: boolean,
	account: QuotaAccount | undefined
): ResourceClaim {
	const step = request.steps[number]
	return { step, need: reservedResourcesOf(step), service: queue.service, urgent, account }
}

/** @returns whether the worker had the room, which is then taken. @internal */
export function tryClaim(
	ledger: Ledger,
	worker: string,
	{ step, need, service, urgent, account }: ResourceClaim
): boolean {
	if (!ledger.reserve(worker, need, urgent)) return false
	account?.take(countedFor(step))
	account?.reserve(service, need)
	return true
}

/** Takes up what an earlier leader gave away. @internal */
export function restoreClaim(
	ledger: Ledger,
	worker: string,
	{ step, need, service, urgent, account }: ResourceClaim
): void {
	ledger.restore(worker, need, urgent)
	account?.take(countedFor(step))
	account?.reserve(service, need)
}

/** Gives back what a task had. @internal */
export function releaseClaim(
	ledger: Ledger,
	worker: string,
	{ step, need, service, urgent, account }: ResourceClaim
): void {
	ledger.release(worker, need, urgent)
	account?.giveBack(countedFor(step))
	account?.release(service, need)
}
