/**
 * Writes log lines without ever waiting: what a slow or stopped reader does not take gathers in a bounded
 * buffer, each event has a budget of lines a second, and what is left out is counted and told.
 */
import type { Clock } from '@rillrudder/utils'

/** Lines that one event may write in a second; a calm instance writes a tenth of it. */
const EVENT_BUDGET = 100
/** Lines that all events together may write in a second. */
const TOTAL_BUDGET = 400
/** Bytes that wait for a slow reader; at 200 bytes a line this is five seconds of the budget. */
const MOST_WAITING = 512 * 1024
const SECOND = 1000

/** The part of a stream that lines are written to. @public */
export interface LineSink {
	/** @returns false when the reader is behind; `drain` is told once it is not. */
	write(text: string): boolean
	/** Calls back once the reader has caught up. */
	onceDrained(call: () => void): void
}

/**
 * A bounded writer of lines.
 *
 * @public
 */
export class LineWriter {
	private waiting: string[] = []
	private waitingBytes = 0
	private blocked = false
	private second = 0
	private total = 0
	private readonly written = new Map<string, number>()
	private readonly leftOut = new Map<string, number>()
	private leftOutCount = 0

	/**
	 * @param sink - where lines go.
	 * @param clock - for budgets.
	 * @param told - makes the line that tells what was left out.
	 */
	constructor(
		private readonly sink: LineSink,
		private readonly clock: Clock,
		private readonly told: (counts: { readonly [event: string]: number }) => string
	) {}

	/** Lines that were left out since the start. */
	get dropped(): number {
		return this.leftOutCount
	}

	/**
	 * Writes a line, or counts it as left out.
	 *
	 * @param event - what the budget is counted by.
	 * @param line - the line, without its end.
	 * @param keep - whether it goes out whatever the budget; for changes of state, which are few.
	 */
	write(event: string, line: string, keep: boolean): void {
		this.beginSecond()
		const count = this.written.get(event) ?? 0
		const over = !keep && (count >= EVENT_BUDGET || this.total >= TOTAL_BUDGET)
		if (over || this.waitingBytes + line.length > MOST_WAITING) {
			this.leaveOut(event)
			return
		}
		this.written.set(event, count + 1)
		this.total += 1
		this.push(line)
	}

	private beginSecond(): void {
		const second = Math.floor(this.clock.now() / SECOND)
		if (second === this.second) return
		this.second = second
		this.total = 0
		this.written.clear()
		if (this.leftOut.size === 0 || this.waitingBytes > 0) return
		const counts = Object.fromEntries(this.leftOut)
		this.leftOut.clear()
		this.push(this.told(counts))
	}

	private leaveOut(event: string): void {
		this.leftOutCount += 1
		this.leftOut.set(event, (this.leftOut.get(event) ?? 0) + 1)
	}

	private push(line: string): void {
		if (this.blocked) {
			this.waiting.push(line)
			this.waitingBytes += line.length
			return
		}
		this.send(`${line}\n`)
	}

	private send(text: string): void {
		if (this.sink.write(text)) return
		this.blocked = true
		this.sink.onceDrained(() => this.drained())
	}

	private drained(): void {
		this.blocked = false
		if (this.waiting.length === 0) return
		const text = `${this.waiting.join('\n')}\n`
		this.waiting = []
		this.waitingBytes = 0
		this.send(text)
	}
}
