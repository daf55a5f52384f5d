/**
 * Fencing tokens of one leadership. They increase with the leader's term, so that no worker obeys
 * an earlier leader after a later one, and with each incarnation of a worker that the leader learns
 * of. A restarted worker has seen no token: the first call to its new incarnation carries a token
 * above all those sent to the previous one, and the worker then refuses the lower tokens, however
 * late they arrive.
 */

/** Tokens per term; more than the incarnations of workers that one term sees. */
const TOKENS_PER_TERM = 2 ** 20

/**
 * Issues the fencing tokens of one leadership.
 *
 * @internal
 */
export class FenceTokens {
	private issued = 0

	/** @param term - term of the leadership; at most 2^32, so that a token is a safe integer. */
	constructor(private readonly term: number) {}

	/** @returns a token above all those issued before. */
	next(): number {
		this.issued = Math.min(this.issued + 1, TOKENS_PER_TERM - 1)
		return this.term * TOKENS_PER_TERM + this.issued
	}
}
