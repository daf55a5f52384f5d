/** The client accounts that the callers of a run belong to. */
import type { ClientAccount, JobRequest } from '@rillrudder/jobs'
import type { RunObserver, ObservedRun } from './JobInvariants'

/**
 * Accounts as a run needs them.
 *
 * @internal
 */
export abstract class CallerAccounts implements RunObserver {
	/** The accounts of the next configuration, which may be in force from now on. */
	abstract nextAccounts(): ClientAccount[]
	/** The newest configuration was confirmed. */
	abstract onConfirmed(now: number): void
	/** @returns whether a change is due; it is made then. */
	abstract changeIfDue(now: number): boolean
	/** Lifts all quotas, so that nothing has to wait for one. */
	abstract liftQuotas(): void
	/** A client hands a job in. @returns the digest of the key that it shows. */
	abstract keyDigestFor(id: string, request: JobRequest): string
	abstract onRunStarted(worker: string, run: ObservedRun, now: number): void
	abstract onRunEnded(worker: string, task: string): void
}
