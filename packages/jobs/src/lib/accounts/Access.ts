/** Authenticates the callers of queues and controls their access to jobs. */
import { isSameQueue, type CellConfiguration, type Queue } from '../records/Cell'
import type { JobRecord } from '../state/JobRecord'
import type { ClientAccount } from './ClientAccount'

/** The identity of a caller. @internal */
export type Caller =
	/** A caller of a cell without accounts or of an open queue, or an operator. */
	| { readonly kind: 'anyone' }
	| { readonly kind: 'account'; readonly account: ClientAccount }
	/** A caller without a key, or with a key of no account. */
	| { readonly kind: 'unknown' }

/**
 * Finds accounts by the keys of one configuration.
 *
 * @internal
 */
export class Access {
	/** Accounts by the digests of their keys; undefined for a cell without accounts. */
	private readonly byDigest: ReadonlyMap<string, ClientAccount> | undefined

	/** @param configuration - the configuration in force, or undefined before the first. */
	constructor(configuration: CellConfiguration | undefined) {
		const { accounts } = configuration ?? {}
		this.byDigest = accounts && new Map(accounts.flatMap(keyHoldersOf))
	}

	/**
	 * @param queue - the called queue.
	 * @param keyDigest - digest of the caller's key; absent for none.
	 * @returns the identity of the caller.
	 */
	callerOf(queue: Queue, keyDigest: string | undefined): Caller {
		if (!this.byDigest || queue.open) return { kind: 'anyone' }
		const account = keyDigest === undefined ? undefined : this.byDigest.get(keyDigest)
		return account ? { kind: 'account', account } : { kind: 'unknown' }
	}
}

/**
 * A job belongs to its account until it is forgotten. A job of an open queue belongs to no account
 * and is accessible to all callers of its queue.
 *
 * @returns whether a caller that addresses a queue may see and cancel a job.
 * @internal
 */
export function canAccessJob(caller: Caller, queue: Queue, job: JobRecord): boolean {
	if (job.account === undefined) return true
	if (caller.kind === 'account') return caller.account.name === job.account.name
	return caller.kind === 'anyone' && isSameQueue(queue, job.queue)
}

function keyHoldersOf(account: ClientAccount): [string, ClientAccount][] {
	return account.keyDigests.map((digest) => [digest, account])
}
