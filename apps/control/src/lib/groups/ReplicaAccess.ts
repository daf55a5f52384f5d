/** Gives drivers access to a group that this process hosts. */
import { GroupAccess } from '@rillrudder/cell'
import type { Group } from '@rillrudder/group'

/**
 * Gives drivers access to a group that this process hosts.
 *
 * @internal
 */
export class ReplicaAccess extends GroupAccess {
	/**
	 * @param group - the group.
	 * @param isFenced - whether its data centre was declared down; it may not act then.
	 */
	constructor(
		private readonly group: Group,
		private readonly isFenced: () => boolean = () => false
	) {
		super()
	}

	override get leads(): boolean {
		return this.group.replica.isLeader
	}

	override get mayAct(): boolean {
		return this.group.mayAct && !this.isFenced()
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
