/** Converts ends that a worker lists into ends of a command. */
import type { RunOutcome } from '../../commands/CellCommand'
import type { ListedEnd } from '../ports'

/**
 * @returns the ends without their numbers, which are only valid within one incarnation of the
 * worker.
 * @internal
 */
export function toCommandEnds(listed: readonly ListedEnd[]): RunOutcome[] {
	return listed.map(({ task, attempt, how, checkpoint }) => ({ task, attempt, how, checkpoint }))
}
