/** Repeats of jobs that are not due yet. */
import type { JobRecord } from '../../state/JobRecord'

/** One repeat of a job. @internal */
export interface JobRepeat {
	readonly job: JobRecord
	/** Its number, from 0. */
	readonly repeat: number
}

/** @returns when a repeat of a job is due, milliseconds since the epoch; 0 for a job that does not repeat. @internal */
export function dueTimeOf({ request: { repeat } }: JobRecord, number: number): number {
	return repeat ? repeat.first + number * repeat.interval : 0
}

/**
 * The repeats that are not due yet.
 *
 * @internal
 */
export class PendingRepeats {
	private pending: (JobRepeat & { readonly due: number })[] = []

	/** Takes in a repeat, until it is due. */
	add(job: JobRecord, repeat: number): void {
		this.pending.push({ job, repeat, due: dueTimeOf(job, repeat) })
	}

	/** Drops all repeats of a job. */
	drop(job: JobRecord): void {
		this.pending = this.pending.filter((item) => item.job !== job)
	}

	/** @returns the repeats that have become due, which are kept no more. @param epoch - now, in milliseconds since the epoch. */
	takeDue(epoch: number): readonly JobRepeat[] {
		const due = this.pending.filter((item) => item.due <= epoch)
		if (due.length > 0) this.pending = this.pending.filter((item) => item.due > epoch)
		return due
	}
}
