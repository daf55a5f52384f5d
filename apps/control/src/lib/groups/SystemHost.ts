/** Hosts the system group in this process. */
import { SystemDriver, type OperatorCall, type ReplyCallback } from '@rillrudder/cell'
import type { Group } from '@rillrudder/group'
import type { Event } from '@rillrudder/protocol'
import { SYSTEM_GROUP, type KeptRevision } from '@rillrudder/settings'
import { openGroup, type GroupHostParts } from './openGroup'
import { ReplicaAccess } from './ReplicaAccess'

/** Dependencies of `SystemHost`. @internal */
export interface SystemHostParts extends GroupHostParts {
	/** Called with the configuration in force whenever the group has advanced. */
	readonly onAccepted: (revision: KeptRevision) => void
}

/**
 * Hosts the system group in this process.
 *
 * @internal
 */
export class SystemHost {
	private readonly driver: SystemDriver
	private group!: Group

	constructor(private readonly parts: SystemHostParts) {
		const { self, clock, log, onAccepted } = parts
		this.driver = new SystemDriver({
			self,
			at: () => clock.date().getTime(),
			onConfiguration: onAccepted,
			onLeadershipChanged: (gained) =>
				log.info(gained ? 'leadership-gained' : 'leadership-lost', { group: SYSTEM_GROUP }),
		})
	}

	/** The group, once started. */
	get replicaGroup(): Group {
		return this.group
	}

	/** Whether a leader was heard from since the start, so that the commit index is known. */
	get isCurrent(): boolean {
		return this.driver.isCurrent
	}

	async start(): Promise<void> {
		const { state } = this.driver
		this.group = await openGroup(this.parts, state, () => this.driver.followGroup())
		this.driver.join(new ReplicaAccess(this.group))
	}

	receive(event: Event): void {
		if (event.body?.$case === 'group') this.group.receive(event.body.value)
	}

	/** Handles an operator's call, or replies with the current leader. */
	call(call: OperatorCall, reply: ReplyCallback): void {
		this.driver.onOperatorCall(call, reply)
	}

	/** Advances the replica's timers. */
	tick(): void {
		this.group.tick()
	}

	/** Hands leadership over, for a planned stop. */
	handOver(): void {
		this.group.transferLeadership()
	}

	async stop(): Promise<void> {
		await this.group.stop()
	}
}
