/** How useful a step still is to its caller. */
import type { StepTimes } from './StepUrgency'

/** How useful a step still is; lower values go first. @internal */
export const Usefulness = {
	/** Its job can still be in time. */
	InTime: 0,
	/** Its job will be late but is still useful to its caller. */
	Late: 1,
	/** Its job will end too late to be useful. It is still done, after the rest. */
	TooLate: 2,
} as const
/** One of the degrees of usefulness. @internal */
export type Usefulness = (typeof Usefulness)[keyof typeof Usefulness]

/**
 * @param times - when the step has to start.
 * @param epoch - the current time, in milliseconds since the epoch.
 * @returns how useful the step is if it starts now.
 * @internal
 */
export function usefulnessOf(times: StepTimes, epoch: number): Usefulness {
	const done = epoch + times.remaining
	if (done <= times.deadline) return Usefulness.InTime
	return done <= times.usefulUntil ? Usefulness.Late : Usefulness.TooLate
}
