/** When room is expected on a worker: what its runs have, and when they are expected to end. */
import { plus, type LedgerWorker, type Resources } from '@rillrudder/scheduler'
import type { Option } from '../leader/chooseForStep'
import { RunPhase, type Run } from '../leader/Run'

/** Milliseconds from a stop's order until its room is free: a stop, its listing and the commit of the end. */
const STOP_SPAN = 500

/** Room that comes free at a moment. */
interface Release {
	readonly at: number
	readonly room: Resources
	/** Whether urgent work has it. */
	readonly urgent: boolean
}

/**
 * What is expected to be free on one worker from now on, if nothing new begins there.
 *
 * @internal
 */
export class RoomForecast {
	private readonly now: number
	private readonly account: LedgerWorker
	private readonly releases: readonly Release[]

	/**
	 * @param option - the worker.
	 * @param now - the moment, on the leader's clock.
	 */
	constructor({ view, account }: Option, now: number) {
		this.now = now
		this.account = account
		this.releases = [...view.runs.values()]
			.map((run) => ({ at: endOf(run, now), room: run.need, urgent: run.urgent }))
			.filter(({ at }) => Number.isFinite(at))
			.sort((left, right) => left.at - right.at)
	}

	/** @returns what is expected to be free at a moment. */
	at(moment: number): Resources {
		let { free } = this.account
		for (const { at, room } of this.releases) {
			if (at > moment) break
			free = plus(free, room)
		}
		return free
	}

	/** @returns thousandths of a processor that work which is not urgent is expected to have at a moment. */
	ordinaryAt(moment: number): number {
		let { ordinary } = this.account
		for (const { at, room, urgent } of this.releases) {
			if (at > moment) break
			if (!urgent) ordinary -= room.cpu
		}
		return ordinary
	}

	/** The moments at which more becomes free, from now on. */
	moments(): number[] {
		return [this.now, ...this.releases.map(({ at }) => at)]
	}
}

function endOf(run: Run, now: number): number {
	const stopping = run.phase === RunPhase.Stopping || run.phase === RunPhase.Stopped
	if (stopping) return now + STOP_SPAN
	return run.step.lasting ? Number.POSITIVE_INFINITY : run.progress.expectedEnd(now)
}
