/** The system's group at work in this process. */
import { SystemDriver, type OperatorCall, type ReplyCallback } from '@rillrudder/cell'
import type { Group } from '@rillrudder/group'
import type { Event } from '@rillrudder/protocol'
import { SYSTEM_GROUP, type KeptRevision } from '@rillrudder/settings'
import { openGroup, type GroupHostParts } from './openGroup'
import { ReplicaAccess } from './ReplicaAccess'

/** What a host works with. @internal */
export interface SystemHostParts extends GroupHostParts {
	/** Told of the configuration in force whenever the group has taken a step. */
	readonly accepted: (revision: KeptRevision) => void
}

/**
 * The system's group in this process.
 *
 * @internal
 */
export class SystemHost {
	private readonly driver: SystemDriver
	private group!: Group

	constructor(private readonly parts: SystemHostParts) {
		const { self, clock, log, accepted } = parts
		this.driver = new SystemDriver({
			self,
			at: () => clock.date().getTime(),
			onConfiguration: accepted,
			onLeadershipChanged: (gained) =>
				log.info(gained ? 'leadership-gained' : 'leadership-lost', { group: SYSTEM_GROUP }),
		})
	}

	/** The group, once started. */
	get replicaGroup(): Group {
		return this.group
	}

	/** Whether a leader has been heard since the start, so that what is committed is known. */
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

	/** Takes an operator's call, or says who leads. */
	call(call: OperatorCall, reply: ReplyCallback): void {
		this.driver.onOperatorCall(call, reply)
	}

	/** Lets time pass. */
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
