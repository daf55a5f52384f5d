/** Clients that ask for the state of their jobs until these have ended. */
import { JobState, type CellCall, type CellReply } from '@rillrudder/jobs'
import type { Clock } from '@rillrudder/utils'

/** Milliseconds between two polls of a job. */
const POLL_INTERVAL_MS = 1000

/** Sends a call to the leader, if there is one. @internal */
export type SendCall = (call: CellCall, reply: (reply: CellReply) => void) => void

interface OpenJob {
	readonly queue: string
	dueAt: number
}

/**
 * The polls of a run's clients.
 *
 * @internal
 */
export class StatusPolls {
	private readonly open = new Map<string, OpenJob>()

	constructor(
		private readonly clock: Clock,
		private readonly call: SendCall
	) {}

	/** Starts to poll a job that was accepted. */
	add(id: string, queue: string): void {
		this.open.set(id, { queue, dueAt: this.clock.now() + POLL_INTERVAL_MS })
	}

	/** Sends the polls that are due. */
	tick(): void {
		const now = this.clock.now()
		for (const [id, job] of this.open) {
			if (now < job.dueAt) continue
			job.dueAt = now + POLL_INTERVAL_MS
			this.poll(id, job.queue)
		}
	}

	private poll(id: string, queue: string): void {
		this.call({ kind: 'show', to: { queue, id } }, (reply) => {
			if (reply.kind !== 'state') return
			const isOpen = reply.state === JobState.Queued || reply.state === JobState.Running
			if (!isOpen) this.open.delete(id)
		})
	}
}
