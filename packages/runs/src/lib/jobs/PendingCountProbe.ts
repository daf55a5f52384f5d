/** Clients that ask how many jobs of a queue are pending, and compare it with what the workers did. */
import type { CellCall, CellReply, Queue } from '@rillrudder/jobs'
import { invariant, type Clock } from '@rillrudder/utils'
import type { SubmittedJob } from './checkOutcome'

/** Milliseconds between two questions about each queue. */
const PERIOD_MS = 500
/** Milliseconds after its acceptance from which a job that has not begun must be counted. */
const VISIBLE_MS = 5000
/** Share of these jobs that the count may not fall below. */
const MIN_SHARE = 0.5

/** Dependencies of {@link PendingCountProbe}. @internal */
export interface PendingCountProbeParts {
	readonly clock: Clock
	readonly queues: readonly Queue[]
	/** Sends a call to the leader, if there is one. */
	readonly call: (call: CellCall, reply: (reply: CellReply) => void) => void
	/** @returns whether a worker has started a task of a job. */
	readonly hasBegun: (job: string) => boolean
}

interface AcceptedJob {
	readonly job: SubmittedJob
	readonly queue: string
	readonly at: number
}

/**
 * Checks the counts of pending jobs.
 *
 * @internal
 */
export class PendingCountProbe {
	/** Number of counts that were checked against at least one job. */
	checked = 0
	private accepted: AcceptedJob[] = []
	private dueAt = 0

	constructor(private readonly parts: PendingCountProbeParts) {}

	/** Handles a job that was accepted; one with due times may wait for them. */
	add(job: SubmittedJob, queue: string): void {
		if (job.request.repeat) return
		this.accepted.push({ job, queue, at: this.parts.clock.now() })
	}

	/** Asks for the counts if they are due. @throws InvariantBroken when one is too low. */
	tick(): void {
		const now = this.parts.clock.now()
		if (now < this.dueAt) return
		this.dueAt = now + PERIOD_MS
		this.accepted = this.accepted.filter(
			({ job }) => !job.isCancelRequested && !this.parts.hasBegun(job.id)
		)
		for (const { name } of this.parts.queues) this.ask(name, now)
	}

	private ask(queue: string, now: number): void {
		const waiting = this.accepted.filter((one) => one.queue === queue && now - one.at > VISIBLE_MS)
		if (waiting.length === 0) return
		this.parts.call({ kind: 'show', to: { queue, id: '' } }, (reply) => {
			if (reply.kind !== 'pending') return
			const [{ job }] = waiting
			const facts = { queue, count: reply.count, waiting: waiting.length, first: job.id }
			const isEnough = reply.count >= waiting.length * MIN_SHARE
			invariant(isEnough, 'jobs that have not begun are given as pending', facts)
			this.checked += 1
		})
	}
}
