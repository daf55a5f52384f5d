/** Handles the calls of clients on the leader: submit a job, show its state, cancel it. */
import { Access, canAccessJob, type Caller } from '../../accounts/Access'
import { explainQuotaExcess } from '../../accounts/AccountUsage'
import { termsOf } from '../../accounts/ClientAccount'
import { SubmissionRate } from '../../accounts/SubmissionRate'
import { objectiveOf } from '../../placement/stepTimes'
import { countTasks } from '../../records/checkJob'
import type { JobRequest, JobState } from '../../records/Job'
import type { CellConfiguration } from '../../records/Cell'
import { isActive, type JobRecord } from '../../state/JobRecord'
import { isJobRefusal, type CallId, type CellCall, type CellReply, type Destination } from './calls'
import { shapeOf } from '../explainJob'
import { epochTimeOf, type LeaderContext } from '../LeaderContext'
import { LeaderEvent } from '../LeaderEvent'
import type { AdmissionControl } from './AdmissionControl'
import { PendingCounts } from './PendingCounts'
import { addressesJob, QueueTable, type ResolvedDestination } from './QueueTable'
import { RefusedCalls } from './RefusedCalls'

/** Maximum number of jobs that are kept; bounds the leader's memory and its snapshots. */
const MAX_JOBS = 20_000
/**
 * Maximum number of tasks of all kept jobs, for the same reason: at about 100 bytes each, a sixth
 * of the heap.
 */
const MAX_TASKS = 300_000
/** Milliseconds after which a client may retry a refused submission. */
const RETRY_AFTER_MS = 1000

type Reply = (reply: CellReply) => void
/** A call that submits a job. */
type Submission = Extract<CellCall, { readonly kind: 'submit' }>

/** A submission whose command is not committed yet. */
interface PendingSubmission {
	/** Name of the submitting account; undefined for none. */
	readonly account: string | undefined
	readonly replies: Reply[]
}

/** A call with its resolved queue and authenticated caller. */
interface AdmittedCall extends ResolvedDestination {
	readonly caller: Caller
}

/**
 * Handles client calls. The leader checks keys itself, because only the leader is certain to have
 * the newest configuration.
 *
 * @internal
 */
export class ClientCalls {
	private queues: QueueTable
	private access: Access
	private readonly rate: SubmissionRate
	private readonly submitting = new Map<string, PendingSubmission>()
	private readonly refusedCalls = new RefusedCalls()
	/** Number of refused jobs by account name. */
	private readonly refusals = new Map<string, number>()
	private readonly pending: PendingCounts

	/**
	 * @param context - the state and ports of the leadership.
	 * @param admission - decides which new jobs are accepted while the leader is overloaded.
	 * @param stateOf - the state of a job as callers are told.
	 */
	constructor(
		private readonly context: LeaderContext,
		private readonly admission: AdmissionControl,
		private readonly stateOf: (job: JobRecord) => JobState
	) {
		const { clock, state } = context
		this.pending = new PendingCounts(clock, () => state.jobs.all(), stateOf)
		this.rate = new SubmissionRate(context.timing.rateWindow)
		if (context.policy.overload) {
			this.rate.restore(context.state.jobs.all(), epochTimeOf(context))
		}
		this.queues = new QueueTable(context.state.configuration)
		this.access = new Access(context.state.configuration)
	}

	/** Applies a new configuration. */
	onConfigured(configuration: CellConfiguration): void {
		this.queues = new QueueTable(configuration)
		this.access = new Access(configuration)
	}

	/** @returns the number of jobs of an account that this leadership has refused. */
	refusalCountOf(account: string): number {
		return this.refusals.get(account) ?? 0
	}

	/** Submits a job. Submitting the same id again from the same account is idempotent. */
	submit({ to, job, call }: Submission, reply: Reply): void {
		if (!call) this.trySubmit(to, job, reply)
		else this.submitWithCallId(call, to, job, reply)
	}

	/**
	 * Submits a job by a call that may be retried: once refused, the call is refused for all its
	 * tries.
	 */
	private submitWithCallId(call: CallId, to: Destination, job: JobRequest, reply: Reply): void {
		const { clock } = this.context
		const refused = this.refusedCalls.find(call, clock.now())
		if (refused) {
			reply({ kind: 'settled', refusal: refused })
			return
		}
		this.trySubmit(to, job, (answer) => {
			if (!isJobRefusal(answer) || this.mayBeSubmitted(to)) return reply(answer)
			this.refusedCalls.add(call, answer, clock.now())
			reply({ kind: 'settled', refusal: answer })
		})
	}

	/**
	 * Whether an earlier try may have submitted the job; its key or queue may have been removed
	 * since.
	 */
	private mayBeSubmitted(to: Destination): boolean {
		const id = idOf(to)
		return this.submitting.has(id) || this.context.state.jobs.find(id) !== undefined
	}

	private trySubmit(to: Destination, job: JobRequest, reply: Reply): void {
		if (!this.context.state.configuration) {
			reply({ kind: 'not-run', reason: 'no configuration yet', retryAfter: RETRY_AFTER_MS })
			return
		}
		const admitted = this.admit(to)
		if ('kind' in admitted) reply(admitted)
		else if (admitted.id === '') reply({ kind: 'no-such-queue' })
		else this.submitAdmitted(admitted, job, reply)
	}

	/** @returns a job's state, or the number of pending jobs of a queue. */
	show(to: Destination): CellReply {
		const admitted = this.admit(to)
		if ('kind' in admitted) return admitted
		const { id, queue, caller } = admitted
		if (id === '') return { kind: 'pending', count: this.pending.countOf(queue) }
		const job = this.context.state.jobs.find(id)
		if (!job || !canAccessJob(caller, queue, job)) return { kind: 'no-such-job' }
		return { kind: 'state', state: this.stateOf(job) }
	}

	/** Cancels a job. */
	cancel(to: Destination, reply: Reply): void {
		const job = this.jobToCancel(to)
		if ('kind' in job) {
			reply(job)
			return
		}
		if (!isActive(job)) {
			reply({ kind: 'noted' })
			return
		}
		const command = { kind: 'cancel', id: job.id, at: epochTimeOf(this.context) } as const
		this.context.proposals.propose(command, () => reply({ kind: 'noted' }))
	}

	private jobToCancel(to: Destination): JobRecord | CellReply {
		const { jobs } = this.context.state
		const byOperator = !('path' in to) && !('queue' in to)
		if (byOperator) return jobs.find(to.id) ?? { kind: 'no-such-job' }
		const admitted = this.admit(to)
		if ('kind' in admitted) return admitted.kind === 'no-such-queue' ? NO_SUCH_JOB : admitted
		const job = jobs.find(admitted.id)
		return job && canAccessJob(admitted.caller, admitted.queue, job) ? job : NO_SUCH_JOB
	}

	/** Resolves the queue of a call and authenticates its caller. */
	private admit(to: Destination): AdmittedCall | CellReply {
		const addressed = this.findKnownJob(to) ?? this.queues.find(to)
		if (!addressed) return { kind: 'no-such-queue' }
		const caller = this.access.callerOf(
			addressed.queue,
			'keyDigest' in to ? to.keyDigest : undefined
		)
		if (caller.kind !== 'unknown') return { ...addressed, caller }
		const { queue, id } = addressed
		const configuration = this.context.state.configuration?.version
		this.context.log.info(LeaderEvent.CallerUnknown, { queue: queue.name, job: id, configuration })
		return { kind: 'unauthorized' }
	}

	/**
	 * Finds the job that a call addresses where the job was accepted. The queue may have been removed
	 * since, or another one may have taken its name or cover its paths.
	 */
	private findKnownJob(to: Destination): ResolvedDestination | undefined {
		const id = idOf(to)
		const job = this.context.state.jobs.find(id)
		if (!job || !addressesJob(to, job.queue, id)) return undefined
		const queue = this.queues.currentOf(job.queue)
		// A job of an account stays closed to others, also once its queue requires no key.
		const open = queue.open && job.account === undefined
		return { queue: { ...queue, open }, id }
	}

	private submitAdmitted(admitted: AdmittedCall, job: JobRequest, reply: Reply): void {
		const { id, queue, caller } = admitted
		const account = caller.kind === 'account' ? caller.account.name : undefined
		const known = this.context.state.jobs.find(id)
		if (known) {
			reply({ kind: canAccessJob(caller, queue, known) ? 'accepted' : 'id-taken' })
			return
		}
		const waiting = this.submitting.get(id)
		if (waiting) {
			if (waiting.account === account) waiting.replies.push(reply)
			else reply({ kind: 'id-taken' })
			return
		}
		const refusal = this.refusalOf(caller, job) ?? this.overloadRefusalOf(id)
		if (refusal) this.refuse(id, account, refusal, reply)
		else this.propose(admitted, job, { account, replies: [reply] })
	}

	private propose(
		{ id, queue, caller }: AdmittedCall,
		job: JobRequest,
		submitting: PendingSubmission
	): void {
		this.submitting.set(id, submitting)
		const at = epochTimeOf(this.context)
		const account = caller.kind === 'account' ? termsOf(caller.account) : undefined
		const within = !account || this.rate.take(account.name, account.weight, at)
		const beyondRate = within ? undefined : true
		const command = { kind: 'submit', id, queue, job, account, beyondRate, at } as const
		this.context.proposals.propose(command, () => this.onSubmitted(id))
	}

	private refuse(id: string, account: string | undefined, refusal: CellReply, reply: Reply): void {
		if (account !== undefined) this.refusals.set(account, this.refusalCountOf(account) + 1)
		const reason = 'reason' in refusal ? refusal.reason : refusal.kind
		const jobs = this.context.state.jobs.size
		this.context.log.warn(LeaderEvent.JobRefused, { job: id, account, reason, jobs })
		reply(refusal)
	}

	/** @returns why a job cannot be accepted; undefined if it can. */
	private refusalOf(caller: Caller, job: JobRequest): CellReply | undefined {
		if (caller.kind === 'account') {
			const reason = explainQuotaExcess(job, caller.account, this.context.timing.quotaTolerance)
			if (reason) return { kind: 'impossible', reason }
		}
		const { jobs } = this.context.state
		const full = (reason: string): CellReply => ({
			kind: 'not-run',
			reason,
			retryAfter: RETRY_AFTER_MS,
		})
		if (jobs.size >= MAX_JOBS) return full('too many jobs')
		return jobs.taskCount + countTasks(job) > MAX_TASKS ? full('too many tasks') : undefined
	}

	/** @returns the refusal of a new job that the overloaded leader does not accept. */
	private overloadRefusalOf(id: string): CellReply | undefined {
		const { admission } = this
		if (admission.admits(id)) return undefined
		const reason = 'the leader is overloaded'
		return { kind: 'not-run', reason, retryAfter: admission.retryAfter }
	}

	private onSubmitted(id: string): void {
		const { state, log } = this.context
		const job = state.jobs.find(id)
		log.info(LeaderEvent.JobAccepted, {
			job: id,
			queue: job?.queue.name,
			account: job?.account?.name,
			beyondRate: job?.beyondRate,
			configuration: state.configuration?.version,
			...(job ? shapeOf(job.request) : {}),
			objective: job ? Math.round(objectiveOf(job.request, job.queue)) : undefined,
		})
		const { replies = [] } = this.submitting.get(id) ?? {}
		this.submitting.delete(id)
		for (const reply of replies) reply({ kind: 'accepted' })
	}
}

const NO_SUCH_JOB: CellReply = { kind: 'no-such-job' }

/** @returns the id of the job that a call addresses; for a path its last segment. */
function idOf(to: Destination): string {
	return 'path' in to ? to.path.slice(to.path.lastIndexOf('/') + 1) : to.id
}
