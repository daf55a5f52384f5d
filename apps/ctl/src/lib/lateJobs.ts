/** Tells from the lines of the processes' logs which jobs were late, and what delayed most of them. */
import { LeaderEvent } from '@rillrudder/jobs'

/** What delayed a job; the first that holds counts. @internal */
export const Delay = {
	/** A run was given up because its worker was silent, or its lease ran out. */
	Lost: 'lost',
	/** A run failed and began again. */
	Failed: 'failed',
	/** A run was stopped, as for work of higher priority or on a leaving worker. */
	Stopped: 'stopped',
	/** Its steps waited for advice. */
	Advice: 'advice',
	/** Its steps waited for room. */
	Room: 'room',
	/** Its own work took that long, or the core was away meanwhile. */
	Other: 'other',
} as const
/** One of the delays. @internal */
export type Delay = (typeof Delay)[keyof typeof Delay]

/** Which jobs count. @internal */
export interface LateTerms {
	/** Milliseconds from which a job counts as late; its objective when absent. */
	readonly over?: number
	/** Only jobs of this priority; all when absent. */
	readonly priority?: number
}

/** A job that was late. @internal */
export interface LateJob {
	readonly job: string
	/** When it ended, as its line says. */
	readonly ended: string
	/** Milliseconds from its acceptance. */
	readonly took: number
	readonly delay: Delay
}

/** Milliseconds of waiting from which they count as what delayed a job. */
const LONG_WAIT = 400

interface Line {
	readonly at: string
	readonly event: string
	readonly job?: string
	readonly step?: string
	readonly task?: string
	readonly how?: string
	readonly took?: number
	readonly objective?: number
	readonly priority?: number
	readonly waited?: number
	readonly advised?: number
}

interface Story {
	priority?: number
	readonly ends: Set<string>
	advised: number
	roomless: number
}

/**
 * @param lines - log lines of all processes, in any order; what is no JSON object is passed over.
 * @param terms - which jobs count.
 * @returns the late jobs, in the order of their ends.
 * @internal
 */
export function lateJobs(lines: Iterable<string>, terms: LateTerms): LateJob[] {
	const stories = new Map<string, Story>()
	const ended: Line[] = []
	for (const line of lines) {
		const parsed = parse(line)
		if (parsed?.event === LeaderEvent.JobEnded) ended.push(parsed)
		else if (parsed) note(stories, parsed)
	}
	return ended
		.filter(({ took = 0, objective = 0 }) => took >= (terms.over ?? objective))
		.filter(({ job = '' }) => {
			const { priority } = storyOf(stories, job)
			return terms.priority === undefined || priority === terms.priority
		})
		.sort((left, right) => left.at.localeCompare(right.at))
		.map(({ job = '', at, took = 0 }) => {
			return { job, ended: at, took, delay: delayOf(storyOf(stories, job)) }
		})
}

function note(stories: Map<string, Story>, line: Line): void {
	if (line.event === LeaderEvent.RunEnded && line.task) {
		storyOf(stories, jobOf(line.task)).ends.add(line.how ?? '')
	} else if (line.event === LeaderEvent.StepPlaced && line.step) {
		const story = storyOf(stories, jobOf(line.step))
		const { priority, waited = 0, advised = 0 } = line
		story.priority = priority
		// A step that began again counts what passed since it could first begin.
		if (story.ends.size > 0) return
		story.advised += Math.min(waited, advised)
		story.roomless += Math.max(0, waited - advised)
	}
}

function delayOf({ ends, advised, roomless }: Story): Delay {
	if (ends.has('lost') || ends.has('lapsed')) return Delay.Lost
	if (ends.has('failed')) return Delay.Failed
	if (ends.has('stopped')) return Delay.Stopped
	if (advised >= LONG_WAIT) return Delay.Advice
	return roomless >= LONG_WAIT ? Delay.Room : Delay.Other
}

function storyOf(stories: Map<string, Story>, job: string): Story {
	let story = stories.get(job)
	if (!story) {
		story = { ends: new Set(), advised: 0, roomless: 0 }
		stories.set(job, story)
	}
	return story
}

/** The job of a step's or task's name. */
function jobOf(name: string): string {
	return name.slice(0, name.indexOf('.'))
}

/** The JSON object of a line, which other tools may have put words before. */
function parse(line: string): Line | undefined {
	const start = line.indexOf('{')
	if (start < 0) return undefined
	try {
		return JSON.parse(line.slice(start)) as Line
	} catch {
		// Not a line of ours, or one that was cut off.
		return undefined
	}
}
