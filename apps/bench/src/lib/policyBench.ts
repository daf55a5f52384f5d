/** The policy beside plain baselines on the same arrivals. */
import type { Measurement } from './figures'

/** @returns the measurement. */
export function policyBench(seed: number): Measurement {
	return { title: 'policy', seed, rows: [], bars: [], notes: [] }
}
