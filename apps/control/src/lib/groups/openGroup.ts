/** Opens a group's files and starts to drive its replica. */
import { randomUUID } from 'node:crypto'
import { join } from 'node:path'
import { Replica } from '@rillrudder/consensus'
import { Group, type StateMachine } from '@rillrudder/group'
import type { Event, GroupMessage } from '@rillrudder/protocol'
import type { GroupLayout } from '@rillrudder/settings'
import { Ending, GroupStore, SystemDisk } from '@rillrudder/store'
import type { Log } from '@rillrudder/telemetry'
import type { Clock, Random } from '@rillrudder/utils'

/** What the hosts of groups have in common. @internal */
export interface GroupHostParts {
	readonly self: string
	readonly layout: GroupLayout
	/** Absent without a disk. */
	readonly data?: string
	readonly clock: Clock
	readonly random: Random
	readonly log: Log
	/** Sends to a process. @returns false when it was dropped for certain. */
	readonly send: (to: string, event: Event) => boolean
	readonly fail: (fault: Error) => void
}

/**
 * @param parts - what to open and with what.
 * @param machine - what committed entries are applied to.
 * @param settled - told after every batch of events.
 * @returns the group, which runs.
 * @internal
 */
export async function openGroup(
	parts: GroupHostParts,
	machine: StateMachine,
	settled: () => void
): Promise<Group> {
	const { self, layout, clock, fail } = parts
	const fresh = randomUUID()
	const opened = parts.data
		? await GroupStore.open({
				disk: new SystemDisk(),
				folder: join(parts.data, 'groups', layout.name),
				group: layout.name,
				freshIncarnation: fresh,
			})
		: undefined
	if (opened && opened.ending !== Ending.Clean) {
		parts.log.warn('log-repaired', { group: layout.name, ending: opened.ending })
	}
	const options = {
		group: layout.name,
		id: self,
		incarnation: opened?.incarnation ?? fresh,
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
		fail,
		onBatchHandled: settled,
	})
}
