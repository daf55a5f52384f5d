/**
 * Writes log lines without blocking. Lines that a slow or stopped reader does not accept are kept in a
 * bounded buffer, each event has a budget of lines per second, and dropped lines are counted and
 * reported.
 */
import type { Clock } from '@rillrudder/utils'

/** Lines that one event may write per second; an instance in normal operation writes a tenth of it. */
const EVENT_BUDGET = 100
/** Lines that all events together may write per second. */
const TOTAL_BUDGET = 400
/** Maximum bytes buffered for a slow reader; five seconds of the budget at 200 bytes per line. */
const MAX_BUFFERED_BYTES = 512 * 1024
const SECOND_MS = 1000

/** The operations of a stream that lines are written to. @public */
export interface LineSink {
	/** @returns false if the reader is behind; `onceDrained` then reports when it has caught up. */
	write(text: string): boolean
	/** Calls back once the reader has caught up. */
	onceDrained(call: () => void): void
}

/**
 * A non-blocking line writer with a bounded buffer and a rate limit per event.
 *
 * @public
 */
export class LineWriter {
	private buffered: string[] = []
	private bufferedBytes = 0
	private blocked = false
	private second = 0
	private total = 0
	private readonly written = new Map<string, number>()
	private readonly droppedByEvent = new Map<string, number>()
	private droppedCount = 0

	/**
	 * @param sink - the destination of the lines.
	 * @param clock - the clock for the budgets.
	 * @param formatDropped - returns the line that reports the dropped lines, counted by event.
	 */
	constructor(
		private readonly sink: LineSink,
		private readonly clock: Clock,
		private readonly formatDropped: (counts: { readonly [event: string]: number }) => string
	) {}

	/** Number of lines dropped since the start. */
	get dropped(): number {
		return this.droppedCount
	}

	/**
	 * Writes a line, or drops and counts it.
	 *
	 * @param event - the event whose budget applies.
	 * @param line - the line, without a line break.
	 * @param keep - whether the line is exempt from the budget; for state changes, which are few.
	 */
	write(event: string, line: string, keep: boolean): void {
		this.resetBudgets()
		const count = this.written.get(event) ?? 0
		const over = !keep && (count >= EVENT_BUDGET || this.total >= TOTAL_BUDGET)
		if (over || this.bufferedBytes + line.length > MAX_BUFFERED_BYTES) {
			this.drop(event)
			return
		}
		this.written.set(event, count + 1)
		this.total += 1
		this.push(line)
	}

	private resetBudgets(): void {
		const second = Math.floor(this.clock.now() / SECOND_MS)
		if (second === this.second) return
		this.second = second
		this.total = 0
		this.written.clear()
		if (this.droppedByEvent.size === 0 || this.bufferedBytes > 0) return
		const counts = Object.fromEntries(this.droppedByEvent)
		this.droppedByEvent.clear()
		this.push(this.formatDropped(counts))
	}

	private drop(event: string): void {
		this.droppedCount += 1
		this.droppedByEvent.set(event, (this.droppedByEvent.get(event) ?? 0) + 1)
	}

	private push(line: string): void {
		if (this.blocked) {
			this.buffered.push(line)
			this.bufferedBytes += line.length
			return
		}
		this.send(`${line}\n`)
	}

	private send(text: string): void {
		if (this.sink.write(text)) return
		this.blocked = true
		this.sink.onceDrained(() => this.onDrained())
	}

	private onDrained(): void {
		this.blocked = false
		if (this.buffered.length === 0) return
		const text = `${this.buffered.join('\n')}\n`
		this.buffered = []
		this.bufferedBytes = 0
		this.send(text)
	}
}
