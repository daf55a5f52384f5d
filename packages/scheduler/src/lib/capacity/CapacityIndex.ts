/**
 * Workers by what they have free, so that finding one does not look at all of them.
 *
 * Free processors and memory are sorted into levels that grow by the square root of two, free
 * accelerators into classes that double. A worker on a higher level is sure to fit; one on the level of
 * the need itself is looked at exactly. A bit for each memory level says which cells hold a worker.
 */
import type { Random } from '@rillrudder/utils'
import { fits, type Resources } from './Resources'
import type { LedgerWorker } from './LedgerWorker'

const LEVELS = 24
const ACCELERATOR_CLASSES = 5
const CPU_UNIT = 125
const MEMORY_UNIT = 64
/** Workers looked at in one cell on the level of the need, where a fit is not certain. */
const PROBES = 8
/** The same on the second look, when the first found nothing at all. */
const DEEP_PROBES = 512

/**
 * Workers by what they have free.
 *
 * @internal
 */
export class CapacityIndex {
	private readonly cells: LedgerWorker[][] = Array.from(
		{ length: ACCELERATOR_CLASSES * LEVELS * LEVELS },
		() => []
	)
	/** For each accelerator class and processor level, a bit a memory level. */
	private readonly occupied = new Uint32Array(ACCELERATOR_CLASSES * LEVELS)

	/** @param random - breaks ties, so that two deciders do not pile onto one worker. */
	constructor(private readonly random: Random) {}

	/** Files a worker under what it has free now. */
	add(worker: LedgerWorker): void {
		const cell = cellOf(worker.free)
		const list = this.cells[cell]
		worker.indexCell = cell
		worker.indexPosition = list.length
		list.push(worker)
		this.occupied[Math.floor(cell / LEVELS)] |= 1 << (cell % LEVELS)
	}

	/** Takes a worker out. */
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

	/** Files a worker anew after its free amounts have changed. */
	refresh(worker: LedgerWorker): void {
		if (worker.indexCell === cellOf(worker.free)) return
		this.remove(worker)
		this.add(worker)
	}

	/**
	 * Finds workers that fit, the fullest first.
	 *
	 * @param need - what must be free.
	 * @param most - how many to find at most.
	 * @returns workers that fit; empty when none was found.
	 */
	candidates(need: Resources, most: number): LedgerWorker[] {
		const found: LedgerWorker[] = []
		this.search(need, most, PROBES, found)
		if (found.length === 0) this.search(need, most, DEEP_PROBES, found)
		return found
	}

	private search(need: Resources, most: number, probes: number, found: LedgerWorker[]): void {
		const cpuLevel = level(need.cpu, CPU_UNIT)
		const memoryBits = (~0 << level(need.memory, MEMORY_UNIT)) >>> 0
		for (let kind = acceleratorClass(need.accelerators); kind < ACCELERATOR_CLASSES; kind++) {
			for (let cpu = cpuLevel; cpu < LEVELS; cpu++) {
				let bits = this.occupied[kind * LEVELS + cpu] & memoryBits
				while (bits !== 0) {
					const memory = 31 - Math.clz32(bits & -bits)
					bits &= bits - 1
					const cell = (kind * LEVELS + cpu) * LEVELS + memory
					if (this.look(this.cells[cell], need, most, probes, found)) return
				}
			}
		}
	}

	/** @returns whether enough were found. */
	private look(
		list: LedgerWorker[],
		need: Resources,
		most: number,
		probes: number,
		found: LedgerWorker[]
	): boolean {
		const start = this.random.integer(0, list.length - 1)
		const end = Math.min(list.length, probes)
		for (let step = 0; step < end; step++) {
			const worker = list[(start + step) % list.length]
			if (!fits(need, worker.free)) continue
			found.push(worker)
			if (found.length >= most) return true
		}
		return false
	}
}

function cellOf(free: Resources): number {
	const kind = acceleratorClass(free.accelerators)
	return (kind * LEVELS + level(free.cpu, CPU_UNIT)) * LEVELS + level(free.memory, MEMORY_UNIT)
}

function level(amount: number, unit: number): number {
	if (amount < unit) return 0
	return Math.min(LEVELS - 1, Math.floor(2 * Math.log2(amount / unit)) + 1)
}

function acceleratorClass(count: number): number {
	if (count < 1) return 0
	return Math.min(ACCELERATOR_CLASSES - 1, Math.floor(Math.log2(count)) + 1)
}
