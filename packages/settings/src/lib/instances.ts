/** The instances of the system, and the group layout derived from their locations. */
import { failure, success, type Finding, type Result } from '@rillrudder/utils'

/** One instance of the system. @public */
export interface Instance {
	readonly id: string
	readonly dataCentre: string
	/** Host and port on which `rr-control` accepts links. */
	readonly address: string
	/** Whether it has a disk to store the system's state. */
	readonly disk: boolean
}

/** A voter of a group. @public */
export interface GroupVoter {
	readonly id: string
	readonly durable: boolean
	readonly local: boolean
}

/** A group and its voters. @public */
export interface GroupLayout {
	readonly name: string
	readonly voters: readonly GroupVoter[]
}

/** Name of the group that spans the whole system. @public */
export const SYSTEM_GROUP = 'system'

const INSTANCE_PATTERN = /^([a-z0-9][a-z0-9._-]*)@([a-z0-9][a-z0-9._-]*)=([^,\s]+:\d+)(,disk)?$/
const LOCAL_VOTERS = 2

/**
 * Parses instances from settings, for example `vake-1@vake=10.0.0.1:7100,disk`.
 *
 * @param source - the flag or variable, used in findings.
 * @param written - one string per instance.
 * @returns the instances, or all findings.
 * @public
 */
export function parseInstances(
	source: string,
	written: readonly string[]
): Result<Instance[], Finding[]> {
	const findings: Finding[] = []
	const instances: Instance[] = []
	const seen = new Set<string>()
	written.forEach((text, position) => {
		const place = { source, path: `[${position}]` }
		const match = INSTANCE_PATTERN.exec(text)
		if (!match) {
			findings.push({ place, message: `"${text}" is not id@data-centre=host:port[,disk]` })
			return
		}
		const [, id, dataCentre, address, disk] = match
		if (seen.has(id)) findings.push({ place, message: `${id} stands here a second time` })
		if (dataCentre === SYSTEM_GROUP) findings.push({ place, message: `${dataCentre} is reserved` })
		seen.add(id)
		instances.push({ id, dataCentre, address, disk: disk !== undefined })
	})
	return findings.length > 0 ? failure(findings) : success(instances)
}

/**
 * Derives the groups. Each data centre's group has two of its instances, preferably with disks, and
 * one with a disk in the next data centre. The system group has one with a disk per data centre.
 *
 * @param instances - all instances.
 * @returns the groups, with the system group last.
 * @public
 */
export function groupsOf(instances: readonly Instance[]): GroupLayout[] {
	const dataCentres = dataCentresOf(instances)
	const groups = dataCentres.map((name) => {
		const local = disksFirst(instances, name).slice(0, LOCAL_VOTERS)
		const distant = distantVoter(instances, dataCentres, name)
		const voters = local.map((one) => voter(one, true))
		if (distant) voters.push(voter(distant, false))
		return { name, voters }
	})
	return [...groups, systemGroup(instances, dataCentres)]
}

/**
 * @param instances - all instances.
 * @returns the names of their data centres, sorted.
 * @public
 */
export function dataCentresOf(instances: readonly Instance[]): string[] {
	return [...new Set(instances.map((one) => one.dataCentre))].sort()
}

function systemGroup(instances: readonly Instance[], dataCentres: string[]): GroupLayout {
	const disks = dataCentres.flatMap(
		(name) => disksFirst(instances, name).find((one) => one.disk) ?? []
	)
	const chosen = disks.length > 0 ? disks : instances.slice(0, 1)
	return { name: SYSTEM_GROUP, voters: chosen.map((one) => voter(one, true)) }
}

/** @returns a data centre's instances, those with disks first, then sorted by id. */
function disksFirst(instances: readonly Instance[], dataCentre: string): Instance[] {
	return instances
		.filter((one) => one.dataCentre === dataCentre)
		.sort((a, b) => Number(b.disk) - Number(a.disk) || a.id.localeCompare(b.id))
}

function distantVoter(
	instances: readonly Instance[],
	dataCentres: string[],
	name: string
): Instance | undefined {
	const start = dataCentres.indexOf(name)
	for (let step = 1; step < dataCentres.length; step++) {
		const other = dataCentres[(start + step) % dataCentres.length]
		const found = disksFirst(instances, other).find((one) => one.disk)
		if (found) return found
	}
	return undefined
}

function voter(instance: Instance, local: boolean): GroupVoter {
	return { id: instance.id, durable: instance.disk, local }
}
