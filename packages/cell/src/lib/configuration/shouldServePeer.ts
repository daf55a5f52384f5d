/** Who hands the configuration on to whom. */
import { groupsOf, SYSTEM_GROUP, type Instance } from '@rillrudder/settings'

/**
 * A voter of the system's group serves the processes of its own data centre, and those of data centres
 * that have no voter at all. A data centre whose voter is away waits for it: if others served it, an
 * instance without a disk could be shown a lower revision after a restart.
 *
 * @param self - the instance that might hand the configuration on.
 * @param instances - all instances.
 * @param peer - a process, named by its instance or by `instance/entry`.
 * @returns whether it does.
 * @public
 */
export function shouldServePeer(
	self: Instance,
	instances: readonly Instance[],
	peer: string
): boolean {
	const voters = systemVoters(instances)
	if (!voters.some((voter) => voter.id === self.id)) return false
	const instance = instances.find((one) => one.id === peer.split('/')[0])
	if (!instance) return false
	if (instance.dataCentre === self.dataCentre) return true
	return !voters.some((voter) => voter.dataCentre === instance.dataCentre)
}

function systemVoters(instances: readonly Instance[]): Instance[] {
	const group = groupsOf(instances).find((one) => one.name === SYSTEM_GROUP)
	const ids = new Set(group?.voters.map((voter) => voter.id))
	return instances.filter((one) => ids.has(one.id))
}
