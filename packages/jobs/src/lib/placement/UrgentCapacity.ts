/**
 * Room that other work leaves to urgent work, which is short and comes in bursts: as much as urgent work was seen to have
 * of late, over the whole service and not on each worker. A share of each worker would leave more idle than that: of 32
 * processors a quarter, where large tasks take nine, keeps a third such task out and leaves fourteen. What large tasks
 * leave over on each worker is where urgent work finds its room.
 *
 * Answers a cell that is full of large tasks all day.
 */
import type { WorkerOption } from '../leader/steps/chooseWorkerForStep'
import type { StepWork } from '../leader/steps/StepWork'

/** Least share of a service's processors that is left, where no urgent work was seen. */
const MIN_SHARE = 0.05
/** Most share that is left, however much urgent work was seen: other work must go on. */
const MAX_SHARE = 0.25
/** Milliseconds in which a peak of urgent work comes to count for half; bursts last for 4 s, some tens of seconds apart. */
const HALF_LIFE_MS = 15_000
/** What is left as a multiple of the peak that was seen: urgent work that waited was not seen. */
const PEAK_FACTOR = 1.3

/** Thousandths of processors of a service. */
interface ServiceUsage {
	reserved: number
	capacity: number
	/** What urgent work has of what is reserved. */
	urgent: number
}

/** The most that urgent work had. */
interface Peak {
	/** Thousandths of processors. */
	readonly amount: number
	/** When, on the leader's clock. */
	readonly at: number
}

/**
 * The room that is left to urgent work.
 *
 * @internal
 */
export class UrgentCapacity {
	private usages = new Map<string, ServiceUsage>()
	private readonly peaks = new Map<string, Peak>()
	private now = 0

	/** A new pass over the waiting steps begins, with these open workers. */
	beginPass(open: readonly WorkerOption[], now: number): void {
		this.now = now
		this.usages = new Map()
		for (const { view, account } of open) {
			const usage = this.usageOf(view.worker.service)
			usage.reserved += account.capacity.cpu - account.free.cpu
			usage.capacity += account.capacity.cpu
			usage.urgent += account.urgent
		}
		for (const [service, { urgent }] of this.usages) this.updatePeak(service, urgent)
	}

	/** So many tasks of a step have been given room in this pass. */
	onPlaced({ queue, need, urgent }: StepWork, tasks: number): void {
		const usage = this.usageOf(queue.service)
		usage.reserved += need.cpu * tasks
		if (!urgent) return
		usage.urgent += need.cpu * tasks
		this.updatePeak(queue.service, usage.urgent)
	}

	/** @returns whether one more task of a step leaves room to urgent work; the only such work at a service may begin anyway. */
	allows({ yields, need, queue }: StepWork): boolean {
		if (!yields || need.cpu === 0) return true
		const usage = this.usageOf(queue.service)
		if (usage.reserved <= usage.urgent) return true
		const headroom = Math.max(0, this.getTarget(queue.service, usage) - usage.urgent)
		return usage.capacity - usage.reserved - headroom >= need.cpu
	}

	/** What urgent work should find at a service, with what it has. */
	private getTarget(service: string, { capacity }: ServiceUsage): number {
		const least = capacity * MIN_SHARE
		const most = capacity * MAX_SHARE
		return Math.min(most, Math.max(least, this.peakOf(service) * PEAK_FACTOR))
	}

	private updatePeak(service: string, amount: number): void {
		if (amount >= this.peakOf(service)) this.peaks.set(service, { amount, at: this.now })
	}

	private peakOf(service: string): number {
		const peak = this.peaks.get(service)
		return peak ? peak.amount * 0.5 ** ((this.now - peak.at) / HALF_LIFE_MS) : 0
	}

	private usageOf(service: string): ServiceUsage {
		const usage = this.usages.get(service) ?? { reserved: 0, capacity: 0, urgent: 0 }
		this.usages.set(service, usage)
		return usage
	}
}
