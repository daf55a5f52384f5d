/** The calls to the leader of a cell, and its replies. */
import type { QuotaTerms, Resources } from '@rillrudder/scheduler'
import type { CellConfiguration, Heartbeat } from '../../records/Cell'
import type { JobRequest, JobState } from '../../records/Job'
import type { Suspicion } from '../../state/TaskCrashes'
import type { AdviceQuestion } from '../ports'

/**
 * The queue or job that a call addresses: by host and path, as client calls do, by queue name, or
 * by job id.
 *
 * @public
 */
export type Destination =
	| { readonly host: string; readonly path: string; readonly keyDigest?: string }
	| { readonly queue: string; readonly id: string; readonly keyDigest?: string }
	/** Only for an existing job, and from operators, who need no key. */
	| { readonly id: string }

/** Usage and limits of an account. @public */
export interface AccountSummary extends QuotaTerms {
	/**
	 * Its dominant share: the largest share of any resource that it has reserved, divided by its
	 * weight.
	 */
	readonly share: number
	readonly used: Resources
	/** Number of its jobs that have not ended. */
	readonly jobs: number
	/** Number of those jobs that were submitted beyond its rate. */
	readonly beyondRate: number
	/** Number of its steps with startable tasks that have no worker. */
	readonly waiting: number
	/** Number of its jobs that this leadership has refused. */
	readonly refused: number
	/** Its use of each service; empty where accounts have no shares. */
	readonly services?: readonly ServiceUse[]
}

/**
 * An account's use of a service; each share is that of the dominant resource, from 0 to 1.
 *
 * @public
 */
export interface ServiceUse {
	readonly service: string
	/** The share that it is entitled to while others wait. */
	readonly share: number
	/** The share that it holds now. */
	readonly held: number
	/** The share that it held on average recently. */
	readonly had: number
	/** Whether it exceeds its share, so that its waiting work is ordered after that of others. */
	readonly over: boolean
}

/** Selects the jobs of a list. @public */
export interface JobFilter {
	readonly queue?: string
	readonly state?: string
	/** Maximum number of jobs to list, newest first. */
	readonly most: number
}

/** A job in a list. @public */
export interface JobSummary {
	readonly id: string
	readonly queue: string
	/** Name of the account that owns it; empty for none. */
	readonly account: string
	readonly state: JobState
	/** Time of submission, in milliseconds since the epoch. */
	readonly submitted: number
	/** Time of its end, in milliseconds since the epoch; 0 while it has not ended. */
	readonly ended: number
	readonly tasks: number
	readonly done: number
}

/** A task whose workers crashed or were lost while they ran it. @public */
export interface LossSummary {
	/** Its index in the step. */
	readonly index: number
	readonly suspicion: Suspicion
	/** Workers that crashed while they ran it. */
	readonly crashed: readonly string[]
	/** Workers that became unreachable while they ran it; whether they crashed is unknown. */
	readonly silent: readonly string[]
}

/** The state of one step of a job, and the reason why it waits. @public */
export interface StepExplanation {
	readonly step: string
	readonly tasks: number
	readonly done: number
	readonly placed: number
	readonly waiting: number
	/** Number of failed runs so far. */
	readonly failures: number
	/** Tasks whose workers crashed or were lost. */
	readonly losses: readonly LossSummary[]
	/** Number of its tasks on each worker. */
	readonly workers: { readonly [worker: string]: number }
	/** Why its tasks wait, as text for operators; empty if none waits. */
	readonly reason: string
}

/** The state of a job and its steps. @public */
export interface JobExplanation extends JobSummary {
	/** Term of the leader that answered. */
	readonly term: number
	/** Version of the configuration in force. */
	readonly configuration: number
	readonly steps: readonly StepExplanation[]
}

/** A heartbeat that another instance received and relays to the leader. @public */
export interface RelayedHeartbeat {
	/** Id of the worker. */
	readonly worker: string
	/** Sequence number of the heartbeat. */
	readonly sequence: number
	/** Time on the worker's own monotonic clock, in milliseconds. */
	readonly clock?: number
	/** Milliseconds since the instance received it. */
	readonly age: number
}

/** Identifies a call of an instance across its retries. @public */
export interface CallId {
	/** Incarnation of the instance. */
	readonly instance: string
	/** Sequence number of the call within the incarnation. */
	readonly number: number
}

/** A call of an instance to the leader, or of the leader to an instance. @public */
export type CellCall =
	| {
			readonly kind: 'submit'
			readonly to: Destination
			readonly job: JobRequest
			/** Identifies the call across its retries; absent where it is not retried. */
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
	/**
	 * Heartbeats that another instance received and that changed nothing but the time of the latest
	 * heartbeat.
	 */
	| { readonly kind: 'heartbeats'; readonly heard: readonly RelayedHeartbeat[] }
	| { readonly kind: 'leave'; readonly worker: string }
	/** From the leader to any instance: request advice on its behalf. */
	| { readonly kind: 'advise'; readonly question: AdviceQuestion }

/** A reply to a call. @public */
export type CellReply =
	/** The job is accepted and stored, by this submission or an earlier one. */
	| { readonly kind: 'accepted' }
	/** The call is recorded durably. */
	| { readonly kind: 'noted' }
	| { readonly kind: 'state'; readonly state: JobState }
	/** Number of jobs of the queue of which no task has started. */
	| { readonly kind: 'pending'; readonly count: number }
	| { readonly kind: 'jobs'; readonly jobs: readonly JobSummary[] }
	| { readonly kind: 'explanation'; readonly explanation: JobExplanation }
	| { readonly kind: 'accounts'; readonly accounts: readonly AccountSummary[] }
	/** The call carries no key, or one of no account; nothing was done. */
	| { readonly kind: 'unauthorized' }
	/** Another account has a job with this id; nothing was done. */
	| { readonly kind: 'id-taken' }
	/** The job was not accepted because it could never run; `reason` is text for people. */
	| { readonly kind: 'impossible'; readonly reason: string }
	| { readonly kind: 'no-such-queue' }
	| { readonly kind: 'no-such-job' }
	| { readonly kind: 'configuration'; readonly configuration: CellConfiguration }
	/**
	 * The call was not carried out and will not be; the client may retry after `retryAfter`
	 * milliseconds.
	 */
	| { readonly kind: 'not-run'; readonly reason: string; readonly retryAfter: number }
	/**
	 * The submission was not accepted, and no earlier try of its call has been or will be accepted.
	 */
	| { readonly kind: 'settled'; readonly refusal: JobRefusal }
	/** Nothing was done, because the called instance is not leader, or leads another term. */
	| { readonly kind: 'not-leader' }
	/** The outcome is unknown: the call may have been carried out. */
	| { readonly kind: 'unknown'; readonly reason: string }
	/** The answer to `advise`: pairs of a worker's id and its ticket. */
	| { readonly kind: 'advice'; readonly tickets: readonly (readonly [string, string])[] }
	| { readonly kind: 'advice-busy' }

/** A reply to a submission that was not accepted. @public */
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

/** @returns whether a reply to a submission means that the job was not accepted. @public */
export function isJobRefusal(reply: CellReply): reply is JobRefusal {
	return Object.hasOwn(REFUSALS, reply.kind)
}
