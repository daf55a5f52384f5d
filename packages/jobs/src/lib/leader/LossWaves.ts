/**
 * Tells workers that fall silent together: lost power, a rack, a data centre or a wave of replacements, none of which is the
 * doing of a task. A task takes its workers one after the other.
 */
import type { WorkerView } from './WorkerView'

/** Milliseconds between two losses up to which they count as one event; workers are noticed within a poll of each other. */
const TOGETHER = 250
/** Workers of a service that make a wave: two tasks may crash theirs at the same time by chance. */
const LEAST = 3
/** Milliseconds for which losses are remembered: until a crashed worker is known to be back. */
const KEPT = 20_000

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
export class LossWaves {
	private losses: Loss[] = []

	/** A worker has fallen silent. */
	lost({ id, worker, lostAt }: WorkerView): void {
		this.losses = this.losses.filter(({ at }) => lostAt - at <= KEPT)
		this.losses.push({ worker: id, service: worker.service, at: lostAt })
	}

	/** @returns whether a silent worker fell silent together with others of its service. */
	includes({ worker, lostAt }: WorkerView): boolean {
		const together = this.losses.filter(
			({ service, at }) => service === worker.service && Math.abs(at - lostAt) <= TOGETHER
		)
		return new Set(together.map((loss) => loss.worker)).size >= LEAST
	}
}
