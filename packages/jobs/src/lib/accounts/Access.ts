/** Whether a caller may use a queue, and which jobs are shown to it. */
import type { CellConfiguration, Queue } from '../records/Cell'
import type { JobRecord } from '../state/JobRecord'
import type { ClientAccount } from './ClientAccount'

/** What a caller is known as. @internal */
export type Caller =
	/** Of a cell without accounts, of a queue that is open to all, or an operator. */
	| { readonly kind: 'anyone' }
	| { readonly kind: 'account'; readonly account: ClientAccount }
	/** It shows no key, or one that no account holds. */
	| { readonly kind: 'unknown' }

/**
 * The keys of one configuration.
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
	 * @param queue - the queue that is called.
	 * @param keyDigest - digest of the key that the caller shows; absent for none.
	 * @returns what the caller is known as.
	 */
	callerOf(queue: Queue, keyDigest: string | undefined): Caller {
		if (!this.byDigest || queue.open) return { kind: 'anyone' }
		const account = keyDigest === undefined ? undefined : this.byDigest.get(keyDigest)
		return account ? { kind: 'account', account } : { kind: 'unknown' }
	}
}

/**
 * A job is its account's for life. One of an open queue is nobody's, and shown to all who may use its queue.
 *
 * @returns whether a caller that used a queue may see and cancel a job.
 * @internal
 */
export function canAccessJob(caller: Caller, queue: Queue, job: JobRecord): boolean {
	if (job.account === undefined) return true
	if (caller.kind === 'account') return caller.account.name === job.account.name
	return caller.kind === 'anyone' && queue.name === job.queue.name
}

function keyHoldersOf(account: ClientAccount): [string, ClientAccount][] {
	return account.keyDigests.map((digest) => [digest, account])
}
