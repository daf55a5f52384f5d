/** Of how much use a step still is to its caller. */
import type { StepTimes } from './StepUrgency'

/** Of how much use a step still is: lower goes first. @internal */
export const Usefulness = {
	/** Its job can still be in time. */
	InTime: 0,
	/** Its job will be late, and its caller has some use of it. */
	Late: 1,
	/** Its job will come too late to be of use. It is done all the same, after the rest. */
	TooLate: 2,
} as const
/** One of the degrees. @internal */
export type Usefulness = (typeof Usefulness)[keyof typeof Usefulness]

/**
 * @param times - when the step has to begin.
 * @param epoch - now, in milliseconds since the epoch.
 * @returns of how much use the step is if it begins now.
 * @internal
 */
export function usefulnessOf(times: StepTimes, epoch: number): Usefulness {
	const done = epoch + times.remaining
	if (done <= times.deadline) return Usefulness.InTime
	return done <= times.usefulUntil ? Usefulness.Late : Usefulness.TooLate
}
