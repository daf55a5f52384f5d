/** Which instances offer the configuration to which processes. */
import { groupsOf, SYSTEM_GROUP, type Instance } from '@rillrudder/settings'

/**
 * A voter of the system group serves the processes of its own data centre and of data centres without a
 * voter. A data centre whose voter is down waits for it: if other voters served it, an instance without
 * a disk could receive a lower revision after a restart.
 *
 * @param self - the instance that may offer the configuration.
 * @param instances - all instances.
 * @param peer - a process, identified by its instance id or by `instance/entry`.
 * @returns whether `self` offers the configuration to `peer`.
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
