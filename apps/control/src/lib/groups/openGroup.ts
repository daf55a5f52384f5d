/** Opens a group's files and starts to drive its replica. */
import { randomUUID } from 'node:crypto'
import { join } from 'node:path'
import { Replica } from '@rillrudder/consensus'
import { Group, type StateMachine } from '@rillrudder/group'
import type { GroupMessage } from '@rillrudder/protocol'
import type { GroupLayout } from '@rillrudder/settings'
import { Ending, GroupStore, SystemDisk } from '@rillrudder/store'
import type { Log } from '@rillrudder/telemetry'
import type { Clock, Random } from '@rillrudder/utils'

/** What a group is opened with. @internal */
export interface GroupOpening {
	readonly self: string
	readonly layout: GroupLayout
	/** Absent without a disk. */
	readonly data?: string
	readonly machine: StateMachine
	readonly clock: Clock
	readonly random: Random
	readonly log: Log
	readonly send: (to: string, message: GroupMessage) => void
	readonly fail: (fault: Error) => void
	readonly settled: () => void
}

/**
 * @param opening - what to open and how.
 * @returns the group, which runs.
 * @internal
 */
export async function openGroup(opening: GroupOpening): Promise<Group> {
	const { self, layout, clock, machine, send, fail, settled } = opening
	const fresh = randomUUID()
	const opened = opening.data
		? await GroupStore.open({
				disk: new SystemDisk(),
				folder: join(opening.data, 'groups', layout.name),
				group: layout.name,
				freshIncarnation: fresh,
			})
		: undefined
	if (opened && opened.ending !== Ending.Clean) {
		opening.log.warn('log-repaired', { group: layout.name, ending: opened.ending })
	}
	const options = {
		group: layout.name,
		id: self,
		incarnation: opened?.incarnation ?? fresh,
		founders: layout.voters,
		random: opening.random,
	}
	const replica = new Replica(options, clock.now(), opened?.restored)
	const { name } = layout
	return new Group({ name, replica, store: opened?.store, machine, clock, send, fail, settled })
}
