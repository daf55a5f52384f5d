/** Advice for the leader's controller, asked through this instance and every one that is linked to it. */
import {
	Advisers,
	type AdviceQuestion,
	type AdviceResult,
	type AdviserStatus,
	type CellReply,
} from '@rillrudder/jobs'
import type { Adviser } from './Adviser'
import type { PeerCalls, PeerOutcome } from './PeerCalls'

/** Milliseconds that a question may take; the longest answers take a second, behind others. */
const ANSWER_LIMIT = 6000

/** What asking needs of the instance. @internal */
export interface AskingPeersParts {
	readonly self: string
	readonly adviser: Adviser
	readonly calls: PeerCalls
	/** Peers that are linked now. */
	readonly peers: () => readonly string[]
	/** How well each of them can ask now. */
	readonly standing: (id: string) => AdviserStatus
}

/**
 * Advice through all linked instances.
 *
 * @internal
 */
export class AskingPeers extends Advisers {
	constructor(private readonly parts: AskingPeersParts) {
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
		this.parts.calls.call(to, { kind: 'advise', question }, ANSWER_LIMIT, (outcome) =>
			done(resultOf(outcome))
		)
	}
}

/** Answers a leader's question through this instance. @internal */
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
