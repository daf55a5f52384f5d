/**
 * An index of workers by free capacity, which finds a worker without scanning all of them.
 *
 * Free processors and memory are divided into levels that grow by the square root of two, free
 * accelerators into classes that double. A worker on a higher level than the need always fits; one
 * on the same level is compared exactly. A bitmap of memory levels marks the cells that hold a
 * worker.
 */
import type { Random } from '@rillrudder/utils'
import { fits, type Resources } from './Resources'
import type { LedgerWorker } from './LedgerWorker'

const LEVELS = 24
const ACCELERATOR_CLASSES = 5
/** Upper bound of the lowest processor level, in thousandths of a processor. */
const CPU_UNIT = 125
/** Upper bound of the lowest memory level, in MiB. */
const MEMORY_UNIT = 64
/**
 * Maximum number of workers that are compared in one cell: on the level of the need a fit is not
 * certain.
 */
const MAX_SCANNED = 8
/** The same for the second search, which is made if the first one found nothing. */
const MAX_SCANNED_RETRY = 512

/**
 * Workers by free capacity.
 *
 * @internal
 */
export class CapacityIndex {
	private readonly cells: LedgerWorker[][] = Array.from(
		{ length: ACCELERATOR_CLASSES * LEVELS * LEVELS },
		() => []
	)
	/** A bitmap of memory levels for each accelerator class and processor level. */
	private readonly occupied = new Uint32Array(ACCELERATOR_CLASSES * LEVELS)

	/** @param random - breaks ties, so that two schedulers don't choose the same worker. */
	constructor(private readonly random: Random) {}

	/** Adds a worker under its current free capacity. */
	add(worker: LedgerWorker): void {
		const cell = cellOf(worker.free)
		const list = this.cells[cell]
		worker.indexCell = cell
		worker.indexPosition = list.length
		list.push(worker)
		this.occupied[Math.floor(cell / LEVELS)] |= 1 << (cell % LEVELS)
	}

	/** Removes a worker. */
	remove(worker: LedgerWorker): void {
		if (worker.indexCell < 0) return
		const list = this.cells[worker.indexCell]
		const last = list.pop() as LedgerWorker
		if (last !== worker) {
			list[worker.indexPosition] = last
			last.indexPosition = worker.indexPosition
		}
		if (list.length === 0) {
			this.occupied[Math.floor(worker.indexCell / LEVELS)] &= ~(1 << (worker.indexCell % LEVELS))
		}
		worker.indexCell = -1
	}

	/** Moves a worker to its new cell after its free capacity has changed. */
	refresh(worker: LedgerWorker): void {
		if (worker.indexCell === cellOf(worker.free)) return
		this.remove(worker)
		this.add(worker)
	}

	/**
	 * Finds workers that fit, the fullest first.
	 *
	 * @param need - what must be free.
	 * @param limit - maximum number of workers.
	 * @returns workers that fit; empty if none was found.
	 */
	candidates(need: Resources, limit: number): LedgerWorker[] {
		const found: LedgerWorker[] = []
		this.search(need, limit, MAX_SCANNED, found)
		if (found.length === 0) this.search(need, limit, MAX_SCANNED_RETRY, found)
		return found
	}

	private search(need: Resources, limit: number, maxScanned: number, found: LedgerWorker[]): void {
		const cpuLevel = levelOf(need.cpu, CPU_UNIT)
		const memoryBits = (~0 << levelOf(need.memory, MEMORY_UNIT)) >>> 0
		for (let accel = acceleratorClassOf(need.accelerators); accel < ACCELERATOR_CLASSES; accel++) {
			for (let cpu = cpuLevel; cpu < LEVELS; cpu++) {
				let bits = this.occupied[accel * LEVELS + cpu] & memoryBits
				while (bits !== 0) {
					const memory = 31 - Math.clz32(bits & -bits)
					bits &= bits - 1
					const cell = (accel * LEVELS + cpu) * LEVELS + memory
					if (this.scanCell(this.cells[cell], need, limit, maxScanned, found)) return
				}
			}
		}
	}

	/** @returns whether the limit is reached. */
	private scanCell(
		list: LedgerWorker[],
		need: Resources,
		limit: number,
		maxScanned: number,
		found: LedgerWorker[]
	): boolean {
		const start = this.random.integer(0, list.length - 1)
		const end = Math.min(list.length, maxScanned)
		for (let step = 0; step < end; step++) {
			const worker = list[(start + step) % list.length]
			if (!fits(need, worker.free)) continue
			found.push(worker)
			if (found.length >= limit) return true
		}
		return false
	}
}

function cellOf(free: Resources): number {
	const accel = acceleratorClassOf(free.accelerators)
	return (accel * LEVELS + levelOf(free.cpu, CPU_UNIT)) * LEVELS + levelOf(free.memory, MEMORY_UNIT)
}

function levelOf(amount: number, unit: number): number {
	if (amount < unit) return 0
	return Math.min(LEVELS - 1, Math.floor(2 * Math.log2(amount / unit)) + 1)
}

function acceleratorClassOf(count: number): number {
	if (count < 1) return 0
	return Math.min(ACCELERATOR_CLASSES - 1, Math.floor(Math.log2(count)) + 1)
}
