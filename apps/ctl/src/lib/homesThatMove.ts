/** Which customers' homes a new configuration would move. */
import { parseConfiguration } from '@rillrudder/settings'

/** A home that would move. @internal */
export interface MovingHome {
	readonly customer: string
	/** Its configured home so far; empty when it followed from its name. */
	readonly from: string
	/** Its new one; empty when it will follow from its name. */
	readonly to: string
}

/**
 * @param before - the document in force.
 * @param after - the proposed one.
 * @returns the homes that differ; none when a document can't be read, since the proposal is refused then.
 * @internal
 */
export function homesThatMove(before: string, after: string): MovingHome[] {
	const old = homesOf(before)
	const proposed = homesOf(after)
	if (!old || !proposed) return []
	const names = new Set([...old.keys(), ...proposed.keys()])
	return [...names].flatMap((customer) => {
		const from = old.get(customer) ?? ''
		const to = proposed.get(customer) ?? ''
		return from === to ? [] : [{ customer, from, to }]
	})
}

function homesOf(document: string): Map<string, string> | undefined {
	const read = parseConfiguration('configuration', document)
	if (!read.ok) return undefined
	return new Map(read.value.customers.map((customer) => [customer.name, customer.home]))
}
