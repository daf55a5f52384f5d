/** Splits a long question into several that instances ask in parallel. */
import type { AdviceTerms } from '../records/Cell'
import { MAX_WORKERS_PER_QUESTION } from './shouldPlanGang'

/**
 * The workers of a part may take as long as the base time of an answer. A question with twice as
 * many would take half as long again as two parallel ones, and each further question costs the base
 * time.
 *
 * @param workers - the workers to ask about.
 * @param terms - the time that an answer takes.
 * @returns the workers in parts of similar size, one for each question.
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
