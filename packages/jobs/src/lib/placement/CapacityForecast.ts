/** Forecasts the free capacity of a worker from its runs and when they are expected to end. */
import { NO_RESOURCES, plus, type LedgerWorker, type Resources } from '@rillrudder/scheduler'
import type { WorkerOption } from '../leader/steps/chooseWorkerForStep'
import { RunPhase, type Run } from '../leader/runs/Run'

/**
 * Milliseconds from ordering a stop until the capacity is free: the stop, its report by the worker,
 * and the commit of the end.
 */
const STOP_DURATION_MS = 500

/** The end of a run and the capacity that is free by then. */
interface Release {
	readonly at: number
	/** The capacity freed by this and all earlier ends. */
	readonly freed: Resources
}

/** The free capacity expected at one time. @internal */
export interface ForecastPoint {
	/** The time, on the leader's clock. */
	readonly at: number
	readonly free: Resources
}

/**
 * The capacity expected to be free on one worker if nothing new starts there.
 *
 * @internal
 */
export class CapacityForecast {
	private readonly account: LedgerWorker
	private readonly releases: readonly Release[]

	/**
	 * @param option - the worker.
	 * @param now - the current time, on the leader's clock.
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
		let freed = NO_RESOURCES
		this.releases = ends.map(({ run, at }) => {
			freed = plus(freed, run.need)
			return { at, freed }
		})
	}

	/** @returns the capacity expected to be free at a time. */
	getFreeAt(time: number): Resources {
		let freed = NO_RESOURCES
		for (const release of this.releases) {
			if (release.at > time) break
			freed = release.freed
		}
		return plus(this.account.free, freed)
	}

	/** Yields the free capacity now and after the end of each run. */
	*getPoints(): IterableIterator<ForecastPoint> {
		const { free } = this.account
		yield { at: this.now, free }
		for (const { at, freed } of this.releases) yield { at, free: plus(free, freed) }
	}
}

function expectedEndOf(run: Run, now: number): number {
	const stopping = run.phase === RunPhase.Stopping || run.phase === RunPhase.Stopped
	if (stopping || run.isEnding) return now + STOP_DURATION_MS
	return run.step.lasting ? Number.POSITIVE_INFINITY : run.progress.getExpectedEnd(now)
}
