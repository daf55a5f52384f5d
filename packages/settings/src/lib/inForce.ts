/** The configuration in force, its revision, and the data centres that are fenced. */
import { DEFAULT_CONFIGURATION, type Configuration } from './configuration'

/** A data centre that was declared down. @public */
export interface Fence {
	readonly dataCentre: string
	/** The revision that declared it down; it must reclaim whatever it owned before that revision. */
	readonly revision: number
	/** Whether it is still declared down. */
	readonly down: boolean
}

/** A revision in the form in which it is stored and sent. @public */
export interface KeptRevision {
	readonly revision: number
	/** The configuration document in YAML. */
	readonly document: string
	readonly fences: readonly Fence[]
}

/** A revision with its parsed configuration. @public */
export interface InForce {
	readonly revision: number
	readonly configuration: Configuration
	readonly fences: readonly Fence[]
}

/** The revision before any is accepted. @public */
export const NO_REVISION: KeptRevision = { revision: 0, document: '', fences: [] }

/** The state in force before any revision is accepted. @public */
export const NOTHING_IN_FORCE: InForce = {
	revision: 0,
	configuration: DEFAULT_CONFIGURATION,
	fences: [],
}

/**
 * @param fences - all fences.
 * @param dataCentre - a data centre.
 * @returns whether it is declared down.
 * @public
 */
export function isDown(fences: readonly Fence[], dataCentre: string): boolean {
	return fences.some((fence) => fence.dataCentre === dataCentre && fence.down)
}

/**
 * @param fences - all fences.
 * @param dataCentre - a data centre.
 * @returns the revision that last declared it down; 0 if none did.
 * @public
 */
export function fenceRevisionOf(fences: readonly Fence[], dataCentre: string): number {
	return fences.find((fence) => fence.dataCentre === dataCentre)?.revision ?? 0
}
