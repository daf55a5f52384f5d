/**
 * Detects workers that are lost together: by a power failure, the loss of a rack or a data centre,
 * or a wave of replacements. No task causes these; a task that crashes its workers does so one
 * after the other.
 */
import type { WorkerView } from './WorkerView'

/** Largest time between two losses of one event; they are detected within a poll of each other. */
const CORRELATION_WINDOW_MS = 250
/**
 * Workers of a service that make a correlated loss: two tasks may crash theirs at the same time by
 * chance.
 */
const MIN_CORRELATED_WORKERS = 3
/**
 * Share of a service's workers lost within `HIGH_LOSS_WINDOW_MS` above which a loss says little
 * about the runs that had just started there: each worker is then lost every 10 s, so many runs
 * lose theirs by chance between their start and the next poll's answer.
 */
const HIGH_LOSS_SHARE = 0.5
/** Window of `HIGH_LOSS_SHARE`. */
const HIGH_LOSS_WINDOW_MS = 5000
/** Losses that a single task can cause within that window; decides in a service of few workers. */
const MAX_LOSSES_OF_ONE_TASK = 5
/** How long losses are kept: until a crashed worker is known to be back. */
const RETENTION_MS = 20_000

interface Loss {
	readonly worker: string
	readonly service: string
	readonly at: number
}

/**
 * The recent losses of workers.
 *
 * @internal
 */
export class CorrelatedLosses {
	private losses: Loss[] = []

	/** Records the loss of a worker. */
	record({ id, worker, lostAt }: WorkerView): void {
		this.losses = this.losses.filter(({ at }) => lostAt - at <= RETENTION_MS)
		this.losses.push({ worker: id, service: worker.service, at: lostAt })
	}

	/**
	 * @param workers - number of workers in the cell.
	 * @returns whether a worker was lost together with others of its service, or at a time when so
	 * many of them were lost that its loss says little.
	 */
	isCorrelated({ worker, lostAt }: WorkerView, workers: number): boolean {
		const ofService = this.losses.filter(({ service }) => service === worker.service)
		const recent = ofService.filter(({ at }) => Math.abs(at - lostAt) <= HIGH_LOSS_WINDOW_MS)
		if (recent.length > Math.max(MAX_LOSSES_OF_ONE_TASK, workers * HIGH_LOSS_SHARE)) return true
		const together = ofService.filter(({ at }) => Math.abs(at - lostAt) <= CORRELATION_WINDOW_MS)
		return new Set(together.map((loss) => loss.worker)).size >= MIN_CORRELATED_WORKERS
	}
}
