/** The client accounts that the callers of a simulated run belong to. */
import type { ClientAccount, JobRequest } from '@rillrudder/jobs'
import type { RunObserver, ObservedRun } from './JobInvariants'

/**
 * Assigns submitted jobs to client accounts and configures these accounts.
 *
 * @internal
 */
export abstract class CallerAccounts implements RunObserver {
	/** @returns the accounts of the next configuration, which may be in force from now on. */
	abstract nextAccounts(): ClientAccount[]
	/** Handles the confirmation of the newest configuration. */
	abstract onConfirmed(now: number): void
	/** Makes a change if one is due. @returns whether a change was made. */
	abstract changeIfDue(now: number): boolean
	/** Raises all quotas so high that no job waits for one. */
	abstract liftQuotas(): void
	/** @returns the digest of the key with which a client submits a job. */
	abstract keyDigestFor(id: string, request: JobRequest): string
	abstract onRunStarted(worker: string, run: ObservedRun, now: number): void
	abstract onRunEnded(worker: string, task: string): void
}
