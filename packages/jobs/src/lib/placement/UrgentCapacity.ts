/**
 * Capacity that other work leaves free for urgent work, which is short and arrives in bursts: as
 * much as urgent work recently used, over the whole service and not on each worker. A share of each
 * worker would leave more idle: with a quarter of 32 processors kept free and large tasks of nine,
 * a third such task no longer fits and fourteen processors stay idle. Urgent work finds its
 * capacity in what large tasks leave over on each worker.
 *
 * This matters in a cell that is full of large tasks all day.
 */
import type { WorkerOption } from '../leader/steps/chooseWorkerForStep'
import type { StepWork } from '../leader/steps/StepWork'

/** Share of a service's processors that is left free even if no urgent work was seen. */
const MIN_SHARE = 0.05
/**
 * Largest share that is left free, however much urgent work was seen, so that other work proceeds.
 */
const MAX_SHARE = 0.25
/**
 * Milliseconds after which a peak of urgent work counts for half; bursts last for 4 s, some tens of
 * seconds apart.
 */
const HALF_LIFE_MS = 15_000
/** Target as a multiple of the peak seen: urgent work that waited is not part of the peak. */
const PEAK_FACTOR = 1.3

/** Use of a service, in thousandths of a processor. */
interface ServiceUsage {
	reserved: number
	capacity: number
	/** The part of `reserved` that urgent work has. */
	urgent: number
}

/** The peak use of urgent work. */
interface Peak {
	/** In thousandths of a processor. */
	readonly amount: number
	/** When it was reached, on the leader's clock. */
	readonly at: number
}

/**
 * Keeps capacity free for urgent work.
 *
 * @internal
 */
export class UrgentCapacity {
	private usages = new Map<string, ServiceUsage>()
	private readonly peaks = new Map<string, Peak>()
	private now = 0

	/** Starts a new pass over the waiting steps with the given open workers. */
	beginPass(open: readonly WorkerOption[], now: number): void {
		this.now = now
		this.usages = new Map()
		let usage: ServiceUsage | undefined
		let service = ''
		for (const { view, account } of open) {
			if (!usage || view.worker.service !== service) {
				service = view.worker.service
				usage = this.usageOf(service)
			}
			usage.reserved += account.capacity.cpu - account.free.cpu
			usage.capacity += account.capacity.cpu
			usage.urgent += account.urgentCpu
		}
		for (const [name, { urgent }] of this.usages) this.updatePeak(name, urgent)
	}

	/** Records that tasks of a step were placed in this pass. */
	onPlaced({ queue, need, urgent }: StepWork, tasks: number): void {
		const usage = this.usageOf(queue.service)
		usage.reserved += need.cpu * tasks
		if (!urgent) return
		usage.urgent += need.cpu * tasks
		this.updatePeak(queue.service, usage.urgent)
	}

	/**
	 * @returns whether one more task of a step leaves enough capacity for urgent work. A task is
	 * always allowed where nothing but urgent work has capacity.
	 */
	allows({ yields, need, queue }: StepWork): boolean {
		if (!yields || need.cpu === 0) return true
		const usage = this.usageOf(queue.service)
		if (usage.reserved <= usage.urgent) return true
		const headroom = Math.max(0, this.getTarget(queue.service, usage) - usage.urgent)
		return usage.capacity - usage.reserved - headroom >= need.cpu
	}

	/**
	 * The capacity that urgent work should be able to use at a service, including what it already
	 * has.
	 */
	private getTarget(service: string, { capacity }: ServiceUsage): number {
		const min = capacity * MIN_SHARE
		const max = capacity * MAX_SHARE
		return Math.min(max, Math.max(min, this.peakOf(service) * PEAK_FACTOR))
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
