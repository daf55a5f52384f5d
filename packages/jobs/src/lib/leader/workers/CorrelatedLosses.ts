/**
 * Tells workers that fall silent together: lost power, a rack, a data centre or a wave of replacements, none of which is the
 * doing of a task. A task takes its workers one after the other.
 */
import type { WorkerView } from './WorkerView'

/** Milliseconds between two losses up to which they count as one event; workers are noticed within a poll of each other. */
const CORRELATION_WINDOW_MS = 250
/** Workers of a service that make a wave: two tasks may crash theirs at the same time by chance. */
const MIN_CORRELATED_WORKERS = 3
/**
 * Losses among the workers of a service, as a share of them, within `RECENT` from which a loss says little of what had just begun there: each
 * worker is then lost every 10 s, and many a run loses its own by chance in the poll's wait after its beginning.
 */
const HIGH_LOSS_SHARE = 0.5
/** Milliseconds. */
const HIGH_LOSS_WINDOW_MS = 5000
/** Losses that are no more than one task does, in a service of few workers. */
const MAX_LOSSES_OF_ONE_TASK = 5
/** Milliseconds for which losses are remembered: until a crashed worker is known to be back. */
const RETENTION_MS = 20_000

interface Loss {
	readonly worker: string
	readonly service: string
	readonly at: number
}

/**
 * The workers that fell silent of late.
 *
 * @internal
 */
export class CorrelatedLosses {
	private losses: Loss[] = []

	/** A worker has fallen silent. */
	record({ id, worker, lostAt }: WorkerView): void {
		this.losses = this.losses.filter(({ at }) => lostAt - at <= RETENTION_MS)
		this.losses.push({ worker: id, service: worker.service, at: lostAt })
	}

	/**
	 * @param workers - how many workers there are.
	 * @returns whether a silent worker fell silent together with others of its service, or where all are lost so often that it says little.
	 */
	isCorrelated({ worker, lostAt }: WorkerView, workers: number): boolean {
		const ofService = this.losses.filter(({ service }) => service === worker.service)
		const recent = ofService.filter(({ at }) => Math.abs(at - lostAt) <= HIGH_LOSS_WINDOW_MS)
		if (recent.length > Math.max(MAX_LOSSES_OF_ONE_TASK, workers * HIGH_LOSS_SHARE)) return true
		const together = ofService.filter(({ at }) => Math.abs(at - lostAt) <= CORRELATION_WINDOW_MS)
		return new Set(together.map((loss) => loss.worker)).size >= MIN_CORRELATED_WORKERS
	}
}
