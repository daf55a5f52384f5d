/** When room is expected on a worker: what its runs have, and when they are expected to end. */
import { NOTHING, plus, type LedgerWorker, type Resources } from '@rillrudder/scheduler'
import type { WorkerOption } from '../leader/steps/chooseWorkerForStep'
import { RunPhase, type Run } from '../leader/runs/Run'

/** Milliseconds from a stop's order until its room is free: a stop, its listing and the commit of the end. */
const STOP_DURATION_MS = 500

/** What one more run's end adds to what is free. */
interface Release {
	readonly at: number
	/** What this and all earlier ends free. */
	readonly freed: Resources
}

/** What is expected at a moment. @internal */
export interface ForecastPoint {
	/** When, on the leader's clock. */
	readonly at: number
	readonly free: Resources
}

/**
 * What is expected to be free on one worker from now on, if nothing new begins there.
 *
 * @internal
 */
export class CapacityForecast {
	private readonly account: LedgerWorker
	private readonly releases: readonly Release[]

	/**
	 * @param option - the worker.
	 * @param now - the moment, on the leader's clock.
	 */
	constructor(
		{ view, account }: WorkerOption,
		private readonly now: number
	) {
		this.account = account
		const ends = [...view.runs.values()]
			.map((run) => ({ run, at: expectedEndOf(run, now) }))
			.filter(({ at }) => Number.isFinite(at))
			.sort((left, right) => left.at - right.at)
		let freed = NOTHING
		this.releases = ends.map(({ run, at }) => {
			freed = plus(freed, run.need)
			return { at, freed }
		})
	}

	/** @returns what is expected to be free at a moment. */
	getFreeAt(moment: number): Resources {
		let freed = NOTHING
		for (const release of this.releases) {
			if (release.at > moment) break
			freed = release.freed
		}
		return plus(this.account.free, freed)
	}

	/** What is expected now and after each end. */
	*getPoints(): IterableIterator<ForecastPoint> {
		const { free } = this.account
		yield { at: this.now, free }
		for (const { at, freed } of this.releases) yield { at, free: plus(free, freed) }
	}
}

function expectedEndOf(run: Run, now: number): number {
	const stopping = run.phase === RunPhase.Stopping || run.phase === RunPhase.Stopped
	if (stopping || run.ending) return now + STOP_DURATION_MS
	return run.step.lasting ? Number.POSITIVE_INFINITY : run.progress.getExpectedEnd(now)
}
