/**
 * Advice for the leader's controller, requested through this instance and every one that is linked
 * to it.
 */
import {
	Advisers,
	type AdviceQuestion,
	type AdviceResult,
	type AdviserStatus,
	type CellReply,
} from '@rillrudder/jobs'
import type { Adviser } from './Adviser'
import type { PeerCalls, PeerOutcome } from './PeerCalls'

/** Timeout of a question in milliseconds; the slowest answers take a second, queued behind others. */
const ANSWER_TIMEOUT_MS = 6000

/** Dependencies of `PeerAdvisers`. @internal */
export interface PeerAdvisersParts {
	readonly self: string
	readonly adviser: Adviser
	readonly calls: PeerCalls
	/** Peers that are linked at the moment. */
	readonly peers: () => readonly string[]
	/** How suited an instance is to ask for advice at the moment. */
	readonly standing: (id: string) => AdviserStatus
}

/**
 * Requests advice through all linked instances.
 *
 * @internal
 */
export class PeerAdvisers extends Advisers {
	constructor(private readonly parts: PeerAdvisersParts) {
		super()
	}

	override available(): readonly string[] {
		return [this.parts.self, ...this.parts.peers()]
	}

	override standing(via: string): AdviserStatus {
		return this.parts.standing(via)
	}

	override ask(via: string, question: AdviceQuestion, done: (result: AdviceResult) => void): void {
		if (via === this.parts.self) {
			void this.parts.adviser.ask(question).then(done)
			return
		}
		const to = { peer: via, term: 0, hops: 1 }
		this.parts.calls.call(to, { kind: 'advise', question }, ANSWER_TIMEOUT_MS, (outcome) =>
			done(resultOf(outcome))
		)
	}
}

/** Answers a leader's question through the adviser of this instance. @internal */
export async function answerQuestion(
	adviser: Adviser,
	question: AdviceQuestion
): Promise<CellReply> {
	const result = await adviser.ask(question)
	if (result.kind === 'answered') return { kind: 'advice', tickets: [...result.tickets] }
	if (result.kind === 'busy') return { kind: 'advice-busy' }
	return { kind: 'unknown', reason: result.message }
}

function resultOf(outcome: PeerOutcome): AdviceResult {
	if (outcome.kind !== 'replied') return { kind: 'unknown', message: outcome.kind }
	const { reply } = outcome
	if (reply.kind === 'advice') return { kind: 'answered', tickets: new Map(reply.tickets) }
	if (reply.kind === 'advice-busy') return { kind: 'busy' }
	return { kind: 'unknown', message: reply.kind }
}
