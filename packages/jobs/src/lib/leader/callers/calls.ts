/** What can be asked of the leader of a cell, and what it answers. */
import type { QuotaTerms, Resources } from '@rillrudder/scheduler'
import type { CellConfiguration, Heartbeat } from '../../records/Cell'
import type { JobRequest, JobState } from '../../records/Job'
import type { Suspicion } from '../../state/TaskCrashes'
import type { AdviceQuestion } from '../ports'

/** Where a call is addressed: by host and path, as callers do, or by the queue's name. @public */
export type Destination =
	| { readonly host: string; readonly path: string; readonly keyDigest?: string }
	| { readonly queue: string; readonly id: string; readonly keyDigest?: string }
	/** Only for a job that is known, and from operators, who need no key. */
	| { readonly id: string }

/** What an account has and may have. @public */
export interface AccountSummary extends QuotaTerms {
	/** Largest share of any resource that it has reserved, against its weight. */
	readonly share: number
	readonly used: Resources
	/** Its jobs that have not ended. */
	readonly jobs: number
	/** Of those, how many came beyond its rate. */
	readonly beyondRate: number
	/** Its steps with tasks that could begin and have no place. */
	readonly waiting: number
	/** Its jobs refused since this leadership began. */
	readonly refused: number
	/** What it has of each service; empty where accounts have no shares. */
	readonly services?: readonly ServiceUse[]
}

/** What an account has of a service; shares are of the largest resource, from 0 to 1. @public */
export interface ServiceUse {
	readonly service: string
	/** What it may count on while others wait. */
	readonly share: number
	readonly held: number
	/** What it had on the mean of late. */
	readonly had: number
	/** Whether its waiting work goes behind that of others. */
	readonly over: boolean
}

/** Which jobs a list shows. @public */
export interface JobFilter {
	readonly queue?: string
	readonly state?: string
	/** Most jobs that are listed, the newest first. */
	readonly most: number
}

/** A line of a list of jobs. @public */
export interface JobSummary {
	readonly id: string
	readonly queue: string
	/** Name of the account that it belongs to; empty for none. */
	readonly account: string
	readonly state: JobState
	/** Milliseconds since the epoch. */
	readonly submitted: number
	/** The same; 0 while it has not ended. */
	readonly ended: number
	readonly tasks: number
	readonly done: number
}

/** A task that has lost workers. @public */
export interface LossSummary {
	/** Its index in the step. */
	readonly index: number
	readonly suspicion: Suspicion
	/** Workers that crashed under it. */
	readonly crashed: readonly string[]
	/** Workers that fell silent under it, of which is not known whether they crashed. */
	readonly silent: readonly string[]
}

/** What is known of one step of a job, and why it waits. @public */
export interface StepExplanation {
	readonly step: string
	readonly tasks: number
	readonly done: number
	readonly placed: number
	readonly waiting: number
	/** Runs that failed so far. */
	readonly failures: number
	/** Tasks that have lost workers. */
	readonly losses: readonly LossSummary[]
	/** For each worker how many of its tasks are there. */
	readonly workers: { readonly [worker: string]: number }
	/** Why its tasks wait, for people; empty when none does. */
	readonly reason: string
}

/** What is known of a job. @public */
export interface JobExplanation extends JobSummary {
	/** The instance that leads, and its term. */
	readonly term: number
	/** Version of the configuration in force. */
	readonly configuration: number
	readonly steps: readonly StepExplanation[]
}

/** A worker that another instance has heard. @public */
export interface RelayedHeartbeat {
	/** Its id. */
	readonly worker: string
	/** Number of its heartbeat. */
	readonly sequence: number
	/** Milliseconds on its own steady clock. */
	readonly clock?: number
	/** Milliseconds since it was heard. */
	readonly age: number
}

/** Names a call of an instance through all its tries. @public */
export interface CallId {
	/** One life of the instance. */
	readonly instance: string
	/** Counts its calls. */
	readonly number: number
}

/** What an instance asks of the leader, or the leader of an instance. @public */
export type CellCall =
	| {
			readonly kind: 'submit'
			readonly to: Destination
			readonly job: JobRequest
			/** Names the call through all its tries; absent where it is tried once. */
			readonly call?: CallId
	  }
	| { readonly kind: 'show'; readonly to: Destination }
	| { readonly kind: 'cancel'; readonly to: Destination }
	| { readonly kind: 'list-jobs'; readonly filter: JobFilter }
	| { readonly kind: 'explain-job'; readonly id: string }
	| { readonly kind: 'list-accounts' }
	| { readonly kind: 'configure'; readonly configuration: CellConfiguration }
	| { readonly kind: 'read-configuration' }
	| { readonly kind: 'heartbeat'; readonly heartbeat: Heartbeat }
	/** Heartbeats that brought nothing new to another instance. */
	| { readonly kind: 'heartbeats'; readonly heard: readonly RelayedHeartbeat[] }
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
	| { readonly kind: 'jobs'; readonly jobs: readonly JobSummary[] }
	| { readonly kind: 'explanation'; readonly explanation: JobExplanation }
	| { readonly kind: 'accounts'; readonly accounts: readonly AccountSummary[] }
	/** The caller shows no key, or one that no account holds: nothing was done. */
	| { readonly kind: 'unauthorized' }
	/** Another account has a job of that id: nothing was done. */
	| { readonly kind: 'id-taken' }
	/** The job was not accepted and never could run, for people. */
	| { readonly kind: 'impossible'; readonly reason: string }
	| { readonly kind: 'no-such-queue' }
	| { readonly kind: 'no-such-job' }
	| { readonly kind: 'configuration'; readonly configuration: CellConfiguration }
	/** Not run, and never will be by this call: it may come again after `retryAfter` milliseconds. */
	| { readonly kind: 'not-run'; readonly reason: string; readonly retryAfter: number }
	/** The submission was not taken, and no earlier try of its call has been or will be. */
	| { readonly kind: 'settled'; readonly refusal: JobRefusal }
	/** Nothing was done, since the instance that was asked does not lead, or leads another term. */
	| { readonly kind: 'not-leader' }
	/** Nothing is known of what became of it: it may have been done. */
	| { readonly kind: 'unknown'; readonly reason: string }
	/** The answer to `advise`; undefined tickets when none came. */
	| { readonly kind: 'advice'; readonly tickets: readonly (readonly [string, string])[] }
	| { readonly kind: 'advice-busy' }

/** A reply that says that a job was not taken. @public */
export type JobRefusal = Extract<
	CellReply,
	{ readonly kind: 'unauthorized' | 'no-such-queue' | 'id-taken' | 'impossible' | 'not-run' }
>

const REFUSALS: { readonly [kind in JobRefusal['kind']]: true } = {
	unauthorized: true,
	'no-such-queue': true,
	'id-taken': true,
	impossible: true,
	'not-run': true,
}

/** @returns whether a reply to a submission says that the job was not taken. @public */
export function isJobRefusal(reply: CellReply): reply is JobRefusal {
	return Object.hasOwn(REFUSALS, reply.kind)
}
