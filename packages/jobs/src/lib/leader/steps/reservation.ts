/** What a task takes: room on its worker, and a part of its account's quota. */
import type { Ledger, QuotaAccount, Resources } from '@rillrudder/scheduler'
import { countedFor } from '../../accounts/AccountUsage'
import type { Step } from '../../records/Job'

/** @returns what is reserved on its worker for a task of a step. @internal */
export function reservedFor(step: Step): Resources {
	return step.bestEffort ? { ...step.need, cpu: 0 } : step.need
}

/** A task that takes room, with what it takes. @internal */
export interface Claim {
	readonly step: Step
	/** See {@link reservedFor}. */
	readonly need: Resources
	/** Whether it is of the highest priority. */
	readonly urgent: boolean
	/** The account of its job; undefined for none. */
	readonly account: QuotaAccount | undefined
}

/** @returns whether the worker had the room, which is then taken. @internal */
export function claim(
	ledger: Ledger,
	worker: string,
	{ step, need, urgent, account }: Claim
): boolean {
	if (!ledger.reserve(worker, need, urgent)) return false
	account?.take(countedFor(step))
	return true
}

/** Takes up what an earlier leader gave away. @internal */
export function claimAgain(
	ledger: Ledger,
	worker: string,
	{ step, need, urgent, account }: Claim
): void {
	ledger.restore(worker, need, urgent)
	account?.take(countedFor(step))
}

/** Gives back what a task had. @internal */
export function unclaim(
	ledger: Ledger,
	worker: string,
	{ step, need, urgent, account }: Claim
): void {
	ledger.release(worker, need, urgent)
	account?.giveBack(countedFor(step))
}
