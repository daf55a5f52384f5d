/** Turns ends as workers list them into ends as they are committed. */
import type { End } from '../../commands/CellCommand'
import type { ListedEnd } from '../ports'

/** @returns the ends, without the numbers that only their worker's life gives a meaning. @internal */
export function toCommandEnds(listed: readonly ListedEnd[]): End[] {
	return listed.map(({ task, attempt, how, checkpoint }) => ({ task, attempt, how, checkpoint }))
}
