/**
 * Fencing tokens of one leadership. They rise with its term, so that no worker obeys an earlier leader after a later one;
 * and with each life of a worker that the leader learns of. A worker that has started again has seen no token: the first call
 * meant for its new life brings one above all that were sent to the life before, and from then on it refuses those, however late they come.
 */

/** Tokens of one term; more lives of workers than a term sees. */
const TOKENS_PER_TERM = 2 ** 20

/**
 * The tokens of a leadership.
 *
 * @internal
 */
export class FenceTokens {
	private issued = 0

	/** @param term - of the leadership; up to 2^32, so that a token is a whole number without loss. */
	constructor(private readonly term: number) {}

	/** @returns a token above all that were given before. */
	next(): number {
		this.issued = Math.min(this.issued + 1, TOKENS_PER_TERM - 1)
		return this.term * TOKENS_PER_TERM + this.issued
	}
}
