/** The client accounts that the callers of a run belong to. */
import type { ClientAccount, JobRequest } from '@rillrudder/jobs'
import type { JobWitness, WitnessedRun } from './JobInvariants'

/**
 * Accounts as a run needs them.
 *
 * @internal
 */
export abstract class CallerAccounts implements JobWitness {
	/** The accounts of the next configuration, which may be in force from now on. */
	abstract send(): ClientAccount[]
	/** The newest configuration was confirmed. */
	abstract confirmed(now: number): void
	/** @returns whether a change is due; it is made then. */
	abstract change(now: number): boolean
	/** Lifts all quotas, so that nothing has to wait for one. */
	abstract lift(): void
	/** A client hands a job in. @returns the digest of the key that it shows. */
	abstract owned(id: string, request: JobRequest): string
	abstract began(worker: string, run: WitnessedRun, now: number): void
	abstract ended(worker: string, task: string): void
}
