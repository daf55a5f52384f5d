/** What is in force: the configuration, its revision, and which data centres are fenced off. */
import { DEFAULT_CONFIGURATION, type Configuration } from './configuration'

/** A data centre that was declared down. @public */
export interface Fence {
	readonly dataCentre: string
	/** The revision that declared it; what it owned before then it has to claim anew. */
	readonly revision: number
	/** Whether it still counts as down. */
	readonly down: boolean
}

/** A revision as it is kept and handed on. @public */
export interface KeptRevision {
	readonly revision: number
	/** YAML. */
	readonly document: string
	readonly fences: readonly Fence[]
}

/** A revision as decisions see it. @public */
export interface InForce {
	readonly revision: number
	readonly configuration: Configuration
	readonly fences: readonly Fence[]
}

/** Before any revision was accepted. @public */
export const NO_REVISION: KeptRevision = { revision: 0, document: '', fences: [] }

/** What is in force before any revision was accepted. @public */
export const NOTHING_IN_FORCE: InForce = {
	revision: 0,
	configuration: DEFAULT_CONFIGURATION,
	fences: [],
}

/**
 * @param fences - all fences.
 * @param dataCentre - a data centre.
 * @returns whether it counts as down.
 * @public
 */
export function isDown(fences: readonly Fence[], dataCentre: string): boolean {
	return fences.some((fence) => fence.dataCentre === dataCentre && fence.down)
}

/**
 * @param fences - all fences.
 * @param dataCentre - a data centre.
 * @returns the revision that last declared it down; 0 when none did.
 * @public
 */
export function fenceRevisionOf(fences: readonly Fence[], dataCentre: string): number {
	return fences.find((fence) => fence.dataCentre === dataCentre)?.revision ?? 0
}
