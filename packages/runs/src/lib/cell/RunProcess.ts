/** A process of a run: its clock runs apart from the others', and it can die, pause and come back. */
import { Clock, Timer, type ManualClock } from '@rillrudder/utils'

/** How long the process of a run has been what it is. @internal */
export class RunProcess {
	/** Grows with every start. */
	life = 0
	alive = false
	private pausedUntil = Number.NEGATIVE_INFINITY
	/** What came while it was paused, in order. */
	private held: (() => void)[] = []

	/**
	 * @param id - the process.
	 * @param dataCentre - where it is.
	 * @param run - the run's clock, which no process sees.
	 * @param rate - how fast its own clock runs against that.
	 */
	constructor(
		readonly id: string,
		readonly dataCentre: string,
		readonly run: ManualClock,
		readonly rate: number
	) {}

	/** Whether it stands still now. */
	get paused(): boolean {
		return this.run.now() < this.pausedUntil
	}

	/** Starts a new life. */
	start(): void {
		this.life += 1
		this.alive = true
		this.held = []
		this.pausedUntil = Number.NEGATIVE_INFINITY
	}

	/** Ends at once. */
	kill(): void {
		this.alive = false
		this.held = []
	}

	/** Stands still for a while; what comes meanwhile is done afterwards. */
	pause(span: number): void {
		this.pausedUntil = Math.max(this.pausedUntil, this.run.now() + span)
		this.run.after(span, () => this.resume())
	}

	/** Goes on at once. */
	wake(): void {
		this.pausedUntil = this.run.now()
		this.resume()
	}

	/** Does something now, or when it goes on, or never if that life is over by then. */
	act(life: number, call: () => void): void {
		if (!this.alive || life !== this.life) return
		if (this.paused || this.held.length > 0) this.held.push(() => this.act(life, call))
		else call()
	}

	private resume(): void {
		if (this.paused) return
		const held = this.held
		this.held = []
		for (const call of held) call()
	}
}

/** A timer of one life. @internal */
class LifeTimer extends Timer {
	cancelled = false

	override cancel(): void {
		this.cancelled = true
	}
}

/**
 * The clock of one life of a process.
 *
 * @internal
 */
export class RunClock extends Clock {
	private readonly life: number

	constructor(private readonly process: RunProcess) {
		super()
		this.life = process.life
	}

	override now(): number {
		return this.process.run.now() * this.process.rate
	}

	override date(): Date {
		return this.process.run.date()
	}

	override after(delay: number, call: () => void): Timer {
		const timer = new LifeTimer()
		this.process.run.after(delay / this.process.rate, () => {
			this.process.act(this.life, () => {
				if (!timer.cancelled) call()
			})
		})
		return timer
	}
}
