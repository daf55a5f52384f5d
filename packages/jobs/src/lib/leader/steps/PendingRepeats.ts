/** Repeats of jobs that are not due yet. */
import type { JobRecord } from '../../state/JobRecord'

/** One repeat of a job. @internal */
export interface JobRepeat {
	readonly job: JobRecord
	/** The index of the repeat, from 0. */
	readonly repeat: number
}

/**
 * @returns when a repeat of a job is due, in milliseconds since the epoch; 0 for a job that does
 * not repeat.
 *
 * @internal
 */
export function dueTimeOf({ request: { repeat } }: JobRecord, number: number): number {
	return repeat ? repeat.first + number * repeat.interval : 0
}

/**
 * Holds repeats until they are due.
 *
 * @internal
 */
export class PendingRepeats {
	private pending: (JobRepeat & { readonly due: number })[] = []

	/** Adds a repeat that is not due yet. */
	add(job: JobRecord, repeat: number): void {
		this.pending.push({ job, repeat, due: dueTimeOf(job, repeat) })
	}

	/** Removes all repeats of a job. */
	drop(job: JobRecord): void {
		this.pending = this.pending.filter((item) => item.job !== job)
	}

	/**
	 * Removes the repeats that are due.
	 *
	 * @param epoch - the current time, in milliseconds since the epoch.
	 * @returns the removed repeats.
	 */
	takeDue(epoch: number): readonly JobRepeat[] {
		const due = this.pending.filter((item) => item.due <= epoch)
		if (due.length > 0) this.pending = this.pending.filter((item) => item.due > epoch)
		return due
	}
}
