/** The entry instances that a leader hears from, each life with its newest heartbeat. */
import type { Beat } from '@rillrudder/protocol'

/** One life of an entry instance. @public */
export interface Holder {
	/** Id and incarnation. */
	readonly life: string
	/** The process to send to. */
	readonly id: string
	readonly incarnation: string
	heardAt: number
	beat: number
	/** Requests that wait there for a slot. */
	wanted: number
	leaving: boolean
}

/**
 * @param id - an entry instance.
 * @param incarnation - its life.
 * @returns the name of that life.
 * @public
 */
export function lifeOf(id: string, incarnation: string): string {
	return `${id}#${incarnation}`
}

/**
 * The entry instances that this leader hears from.
 *
 * @internal
 */
export class Holders {
	private readonly lives = new Map<string, Holder>()
	private readonly current = new Map<string, Holder>()
	/** Lives that were named by the log but have not been heard, and since when that is known. */
	private readonly unheard = new Map<string, number>()

	/** Takes a heartbeat. @returns the life, and the life that it replaces if there is one. */
	hear(id: string, beat: Beat, now: number): { holder: Holder; replaced?: Holder } {
		const life = lifeOf(id, beat.incarnation)
		const known = this.lives.get(life)
		this.unheard.delete(life)
		if (known) {
			known.heardAt = now
			known.beat = Math.max(known.beat, beat.sequence)
			known.wanted = beat.wanted
			known.leaving = beat.leaving
			return { holder: known }
		}
		const replaced = this.current.get(id)
		if (replaced) this.lives.delete(replaced.life)
		const { sequence, wanted, leaving, incarnation } = beat
		const holder = { life, id, incarnation, heardAt: now, beat: sequence, wanted, leaving }
		this.lives.set(life, holder)
		this.current.set(id, holder)
		return { holder, replaced }
	}

	/** @returns the life that a process has now. */
	ofProcess(id: string): Holder | undefined {
		return this.current.get(id)
	}

	/** @returns a life that is heard. */
	find(life: string): Holder | undefined {
		return this.lives.get(life)
	}

	/** All lives that are heard. */
	all(): IterableIterator<Holder> {
		return this.lives.values()
	}

	/** How many are heard. */
	get size(): number {
		return this.lives.size
	}

	/**
	 * @param life - a life that the log names.
	 * @param now - the moment.
	 * @returns since when nothing has been heard of it; a life never heard counts from the first asking.
	 */
	silentSince(life: string, now: number): number {
		const known = this.lives.get(life)
		if (known) return known.heardAt
		const since = this.unheard.get(life) ?? now
		this.unheard.set(life, since)
		return since
	}

	/** Forgets a life that is certainly over. */
	forget(life: string): void {
		const known = this.lives.get(life)
		this.lives.delete(life)
		if (known && this.current.get(known.id) === known) this.current.delete(known.id)
	}

	/** Forgets everything, when leadership ends. */
	clear(): void {
		this.lives.clear()
		this.current.clear()
		this.unheard.clear()
	}
}
