/** A group of this process, as drivers see it. */
import { GroupAccess } from '@rillrudder/cell'
import type { Group } from '@rillrudder/group'

/**
 * A group of this process, as drivers see it.
 *
 * @internal
 */
export class ReplicaAccess extends GroupAccess {
	/**
	 * @param group - the group.
	 * @param fenced - whether its data centre was declared down; it decides nothing then.
	 */
	constructor(
		private readonly group: Group,
		private readonly fenced: () => boolean = () => false
	) {
		super()
	}

	override get leads(): boolean {
		return this.group.replica.isLeader
	}

	override get mayAct(): boolean {
		return this.group.mayAct && !this.fenced()
	}

	override get leader(): string {
		return this.group.replica.status.leader
	}

	override get term(): number {
		return this.group.replica.status.term
	}

	override propose(commands: readonly Uint8Array[]): void {
		this.group.propose(commands)
	}
}
