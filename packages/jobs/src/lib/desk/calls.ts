/** What can be asked of the leader of a cell, and what it answers. */
import type { CellConfiguration, Heartbeat } from '../records/Cell'
import type { JobRequest, JobState } from '../records/Job'
import type { AdviceQuestion } from './ports'

/** Where a caller's request is addressed: the queue is found by host and path. @public */
export interface Destination {
	readonly host: string
	readonly path: string
}

/** What an instance asks of the leader, or the leader of an instance. @public */
export type CellCall =
	| { readonly kind: 'submit'; readonly to: Destination; readonly job: JobRequest }
	| { readonly kind: 'show'; readonly to: Destination }
	| { readonly kind: 'cancel'; readonly to: Destination }
	| { readonly kind: 'configure'; readonly configuration: CellConfiguration }
	| { readonly kind: 'read-configuration' }
	| { readonly kind: 'heartbeat'; readonly heartbeat: Heartbeat }
	| { readonly kind: 'leave'; readonly worker: string }
	/** From the leader to any instance: ask for advice on its behalf. */
	| { readonly kind: 'advise'; readonly question: AdviceQuestion }

/** What the leader answers. @public */
export type CellReply =
	/** The job is accepted and kept, now or earlier. */
	| { readonly kind: 'accepted' }
	/** Taken note of, for good. */
	| { readonly kind: 'noted' }
	| { readonly kind: 'state'; readonly state: JobState }
	/** Jobs of the queue of which no task has begun. */
	| { readonly kind: 'pending'; readonly count: number }
	| { readonly kind: 'no-such-queue' }
	| { readonly kind: 'no-such-job' }
	| { readonly kind: 'configuration'; readonly configuration: CellConfiguration }
	/** Not run, and never will be by this call: it may come again after `retryAfter` milliseconds. */
	| { readonly kind: 'not-run'; readonly reason: string; readonly retryAfter: number }
	/** Nothing was done, since the instance that was asked does not lead, or leads another term. */
	| { readonly kind: 'not-leader' }
	/** Nothing is known of what became of it: it may have been done. */
	| { readonly kind: 'unknown'; readonly reason: string }
	/** The answer to `advise`; undefined tickets when none came. */
	| { readonly kind: 'advice'; readonly tickets: readonly (readonly [string, string])[] }
	| { readonly kind: 'advice-busy' }
