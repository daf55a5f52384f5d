/** One instance of a run of a group. */
import type { Founder, Replica } from '@rillrudder/consensus'
import { emptyDisk, type ReplicaDisk, type RunReplica } from './RunReplica'

/** One instance: a replica, its clock, its disk, and the state that committed entries make. @internal */
export class RunNode {
	running!: RunReplica
	incarnation = ''
	disk: ReplicaDisk = emptyDisk()
	/** Digest of everything applied, in order. */
	state = 0
	downUntil = 0
	pausedUntil = 0
	/** For how many milliseconds its machine has been suspended in all. */
	suspended = 0
	/** Whether its disk has been emptied. */
	wiped = false
	/** What came while it was paused. */
	held: (() => void)[] = []

	constructor(
		readonly founder: Founder,
		readonly rate: number,
		readonly offset: number
	) {}

	get replica(): Replica {
		return this.running.replica
	}

	/** What its steady clock shows, which stands still while the machine is suspended. */
	localTime(trueTime: number): number {
		return this.offset + (trueTime - this.suspended) * this.rate
	}
}

/** Empties its disk, so that it starts as another life. @internal */
export function wipe(node: RunNode): void {
	node.disk = emptyDisk()
	node.wiped = true
	node.incarnation = ''
}

/** @returns the last index that a disk holds. @internal */
export function lastStored(disk: ReplicaDisk): number {
	const last = disk.entries[disk.entries.length - 1]
	return last?.index ?? disk.snapshot?.index ?? 0
}
