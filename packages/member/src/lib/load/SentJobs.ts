/**
 * Jobs that an entry instance has brought to a leader lately. A caller that got no answer comes again with the same job, which may have been
 * taken then; so this instance may not refuse it by itself.
 */
import type { Destination } from '@rillrudder/jobs'

/** Milliseconds for which a job is remembered at least: longer than callers try. */
const KEPT = 60_000
/** Jobs in each half of the memory; beyond it the older half is forgotten early, which bounds it at about 2 MB. */
const MOST = 10_000

/**
 * The jobs that were sent.
 *
 * @internal
 */
export class SentJobs {
	private young = new Set<string>()
	private old = new Set<string>()
	private turnedAt = Number.NEGATIVE_INFINITY

	/** A job is sent. */
	note(to: Destination, now: number): void {
		this.turn(now)
		this.young.add(keyOf(to))
	}

	/** Whether a job may have been sent before. */
	has(to: Destination, now: number): boolean {
		this.turn(now)
		const key = keyOf(to)
		return this.young.has(key) || this.old.has(key)
	}

	private turn(now: number): void {
		if (now - this.turnedAt < KEPT && this.young.size < MOST) return
		this.old = this.young
		this.young = new Set()
		this.turnedAt = now
	}
}

function keyOf(to: Destination): string {
	if ('path' in to) return `${to.host} ${to.path}`
	return 'queue' in to ? `${to.queue} ${to.id}` : to.id
}
