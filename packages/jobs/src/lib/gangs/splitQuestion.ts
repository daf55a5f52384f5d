/** Splits a long question into several that go through instances side by side. */
import type { AdviceTerms } from '../records/Cell'
import { MAX_WORKERS_PER_QUESTION } from './shouldPlanGang'

/**
 * A question's workers may take as long as its least time does: then one of twice as many takes half as long again as two side by side, and a
 * further question costs the least time once more.
 *
 * @param workers - the workers to ask about.
 * @param terms - what an answer costs.
 * @returns them in parts of like size, each of which one question names.
 * @internal
 */
export function splitQuestion(workers: readonly string[], { base, each }: AdviceTerms): string[][] {
	if (workers.length === 0) return []
	const most = Math.min(
		MAX_WORKERS_PER_QUESTION,
		each > 0 ? Math.max(1, Math.floor(base / each)) : MAX_WORKERS_PER_QUESTION
	)
	const parts = Math.ceil(workers.length / most)
	const size = Math.ceil(workers.length / parts)
	return Array.from({ length: Math.ceil(workers.length / size) }, (_, part) =>
		workers.slice(part * size, (part + 1) * size)
	)
}
