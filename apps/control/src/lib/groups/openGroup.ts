/** Opens a group's files and starts its replica. */
import { randomUUID } from 'node:crypto'
import { join } from 'node:path'
import { Replica } from '@rillrudder/consensus'
import { Group, type StateMachine } from '@rillrudder/group'
import type { Event, GroupMessage } from '@rillrudder/protocol'
import type { GroupLayout } from '@rillrudder/settings'
import { FileCondition, GroupStore, SystemDisk } from '@rillrudder/store'
import type { Log } from '@rillrudder/telemetry'
import type { Clock, Random } from '@rillrudder/utils'

/** Dependencies that all group hosts share. @internal */
export interface GroupHostParts {
	readonly self: string
	readonly layout: GroupLayout
	/** Data folder; absent on an instance without a disk. */
	readonly data?: string
	readonly clock: Clock
	readonly random: Random
	readonly log: Log
	/** Sends an event to a process. @returns false if it was certainly dropped. */
	readonly send: (to: string, event: Event) => boolean
	readonly onFault: (fault: Error) => void
}

/**
 * @param parts - the group's layout and dependencies.
 * @param machine - the state machine to which committed entries are applied.
 * @param onAdvanced - called after every batch of events.
 * @returns the running group.
 * @internal
 */
export async function openGroup(
	parts: GroupHostParts,
	machine: StateMachine,
	onAdvanced: () => void
): Promise<Group> {
	const { self, layout, clock, onFault } = parts
	const freshIncarnation = randomUUID()
	const opened = parts.data
		? await GroupStore.open({
				disk: new SystemDisk(),
				folder: join(parts.data, 'groups', layout.name),
				group: layout.name,
				freshIncarnation,
			})
		: undefined
	if (opened && opened.ending !== FileCondition.Clean) {
		parts.log.warn('log-repaired', { group: layout.name, ending: opened.ending })
	}
	const options = {
		group: layout.name,
		id: self,
		incarnation: opened?.incarnation ?? freshIncarnation,
		founders: layout.voters,
		random: parts.random,
	}
	const replica = new Replica(options, clock.now(), opened?.restored)
	const { name } = layout
	const send = (to: string, message: GroupMessage): void =>
		void parts.send(to, { body: { $case: 'group', value: message } })
	return new Group({
		name,
		replica,
		store: opened?.store,
		machine,
		clock,
		send,
		fail: onFault,
		onBatchHandled: onAdvanced,
	})
}
