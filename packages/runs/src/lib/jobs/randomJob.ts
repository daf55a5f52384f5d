/** Jobs as clients might hand them in: small graphs with everything that a step can ask for. */
import { DEFAULT_STEP, type JobRequest, type Step } from '@rillrudder/jobs'
import type { Random } from '@rillrudder/utils'

/** Labels of the workers' kinds. @internal */
export const KINDS = ['a', 'b'] as const
const RACKS = ['r0', 'r1', 'r2', 'r3']
/** Image of tasks that always fail. @internal */
export const HOPELESS = 'hopeless'
/** Milliseconds to the first of a repeating job's times, at most. */
const FIRST_WITHIN = 2000

/**
 * @param random - chooses.
 * @param epoch - now, in milliseconds since the epoch.
 * @returns a job of one to three steps.
 * @internal
 */
export function randomJob(random: Random, epoch: number): JobRequest {
	const spec = `text ${random.integer(0, 1_000_000)}`
	if (random.chance(0.06)) return { spec, steps: [lastingStep(random)] }
	const steps = Array.from({ length: random.integer(1, 3) }, (_, number) =>
		randomStep(random, number)
	)
	if (!random.chance(0.08)) return { spec, steps }
	const first = epoch + random.integer(0, FIRST_WITHIN)
	return { spec, steps, repeat: { count: random.integer(1, 3), first, interval: 900 } }
}

/** Text of jobs of one wide gang. @internal */
export const WIDE = 'wide'

/**
 * @param random - chooses.
 * @returns a job of one gang that takes most of the workers that may run it.
 * @internal
 */
export function wideGang(random: Random): JobRequest {
	const step: Step = {
		...DEFAULT_STEP,
		count: random.integer(5, 36),
		need: { cpu: 1300, memory: 512, accelerators: 0 },
		expectedTime: random.integer(800, 2500),
		checkpoints: random.chance(0.5),
		gang: true,
	}
	return { spec: WIDE, steps: [step] }
}

function randomStep(random: Random, number: number): Step {
	const gang = random.chance(0.15)
	const earlier = Array.from({ length: number }, (_, at) => at)
	return {
		...DEFAULT_STEP,
		count: gang ? random.integer(2, 4) : random.integer(1, 6),
		need: { cpu: random.integer(200, 1500), memory: random.integer(128, 1500), accelerators: 0 },
		expectedTime: random.integer(200, 2500),
		dependsOn: earlier.filter(() => random.chance(0.7)),
		checkpoints: random.chance(0.4),
		gang,
		sameRack: gang && random.chance(0.5),
		requires: random.chance(0.15) ? random.pick(KINDS) : '',
		rack: random.chance(0.3) ? random.pick(RACKS) : '',
		mostPerWorker: !gang && random.chance(0.15) ? random.integer(1, 2) : 0,
		copies: !gang && random.chance(0.1),
		image: random.chance(0.03) ? HOPELESS : '',
	}
}

function lastingStep(random: Random): Step {
	return {
		...DEFAULT_STEP,
		count: random.integer(1, 4),
		need: { cpu: 500, memory: 256, accelerators: 0 },
		expectedTime: 400,
		lasting: true,
		disruptionBudget: 1,
	}
}
