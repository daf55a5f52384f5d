/**
 * Selects the instances of the core that an entry instance keeps links to. Every link costs
 * messages on both sides, and a large core has many instances; needed are the leader, and others
 * that announce a new one once it is lost.
 */

import { textHash } from '@rillrudder/utils'

/** Links besides the one to the leader. */
const SPARE_LINKS = 2

/** What an entry instance knows of the core while there is a leader. @internal */
export interface KnownCore {
	/** The leader's id; undefined during a leader change. */
	readonly leader: string | undefined
	/** Peers that have sent news recently. */
	readonly freshPeers: ReadonlySet<string>
}

/**
 * @param self - the entry instance's name; spreads entry instances over the core.
 * @param seeds - link addresses of instances that may belong to the core.
 * @param members - ids of the core's instances, as far as known.
 * @param known - what is known while there is a leader; undefined to try all instances.
 * @returns ids of the instances to keep links to.
 * @internal
 */
export function selectEntryPeers(
	self: string,
	seeds: readonly string[],
	members: readonly string[],
	known: KnownCore | undefined
): string[] {
	if (!known || members.length <= SPARE_LINKS + 1) return [...new Set([...seeds, ...members])]
	const { leader, freshPeers } = known
	const others = rotate([...members].sort(), self).filter((member) => member !== leader)
	const freshMembers = others.filter((member) => freshPeers.has(member))
	const spare = freshMembers.length >= SPARE_LINKS ? freshMembers.slice(0, SPARE_LINKS) : others
	if (leader !== undefined) return [leader, ...spare]
	// During a leader change, links to peers that still send news are kept.
	return [...new Set([...freshMembers, ...spare])]
}

function rotate(members: readonly string[], self: string): string[] {
	const start = textHash(self) % members.length
	return [...members.slice(start), ...members.slice(0, start)]
}
