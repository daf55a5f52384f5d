/**
 * Steps that will be ready soon, so that advice about them is asked in time and not too early: tickets run out, and
 * where an answer takes a second and a step's tasks end over several, what was asked at the first end has lapsed at the last.
 */
import type { AdviceTerms } from '../records/Cell'
import type { JobRecord } from '../state/JobRecord'

/** Share of a ticket's time that should be left when the step is ready: its tasks don't all find room at once. */
const LEFT_WHEN_READY = 0.5

/** A step whose first task is done, before others that wait for it. */
interface Ending {
	readonly job: JobRecord
	readonly repeat: number
	readonly step: number
}

/** A step that will be ready soon. @internal */
export interface Upcoming {
	readonly job: JobRecord
	readonly repeat: number
	readonly step: number
}

/** What is known of steps under way. @internal */
export interface Ends {
	/** @returns when a step's last task is expected to be done, on the leader's clock; infinite while one waits. */
	lastEnd(job: JobRecord, repeat: number, step: number): number
	/** @returns how a step's workers are asked about, and how many can be asked about; undefined where none need be. */
	advice(job: JobRecord): { readonly terms: AdviceTerms; readonly workers: number } | undefined
}

/**
 * Steps that will be ready soon.
 *
 * @internal
 */
export class UpcomingSteps {
	private endings = new Map<string, Ending>()
	private readonly asked = new WeakMap<JobRecord, Set<string>>()

	constructor(private readonly ends: Ends) {}

	/** The first task of a step is done, so the others will be. */
	firstDone(job: JobRecord, repeat: number, step: number): void {
		const waited = job.request.steps.some(({ dependsOn }) => dependsOn.includes(step))
		if (waited && this.ends.advice(job)) {
			this.endings.set(`${job.id}.${repeat}.${step}`, { job, repeat, step })
		}
	}

	/** A step is done: what waits for it is ready, or waits for others. */
	done(job: JobRecord, repeat: number, step: number): void {
		this.endings.delete(`${job.id}.${repeat}.${step}`)
	}

	/** A job has ended. */
	drop(job: JobRecord): void {
		for (const [name, ending] of this.endings) if (ending.job === job) this.endings.delete(name)
	}

	/** @returns each step once for which an answer that is asked now comes in time, and holds long enough. */
	due(now: number): Upcoming[] {
		const found: Upcoming[] = []
		for (const { job, repeat, step } of this.endings.values()) {
			job.request.steps.forEach(({ dependsOn }, later) => {
				if (!dependsOn.includes(step) || this.wasAsked(job, repeat, later)) return
				if (!this.isDue(job, repeat, dependsOn, now)) return
				this.noteAsked(job, repeat, later)
				found.push({ job, repeat, step: later })
			})
		}
		return found
	}

	private isDue(job: JobRecord, repeat: number, before: readonly number[], now: number): boolean {
		const advice = this.ends.advice(job)
		if (!advice) return false
		const { terms, workers } = advice
		const answer = terms.base + terms.each * workers
		const readyAt = Math.max(...before.map((step) => this.ends.lastEnd(job, repeat, step)))
		return readyAt - now <= answer + terms.valid * LEFT_WHEN_READY
	}

	private wasAsked(job: JobRecord, repeat: number, step: number): boolean {
		return this.asked.get(job)?.has(`${repeat}.${step}`) ?? false
	}

	private noteAsked(job: JobRecord, repeat: number, step: number): void {
		const asked = this.asked.get(job) ?? new Set<string>()
		this.asked.set(job, asked.add(`${repeat}.${step}`))
	}
}
