/** Calls of entry instances reach the leader in batches, and each gets one reply. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { CellReply } from '@rillrudder/jobs'
import { ManualClock } from '@rillrudder/utils'
import { CallRelay } from './CallRelay'
import type { PeerCalls, PeerDestination, PeerOutcome } from './PeerCalls'

const LEADER = 'c'
const NOTED: CellReply = { kind: 'noted' }

class Subject {
	readonly clock = new ManualClock()
	/** When each call was sent, and to whom. */
	readonly sent: { readonly at: number; readonly to: PeerDestination }[] = []
	readonly replies: CellReply[] = []
	private readonly done: ((outcome: PeerOutcome) => void)[] = []
	private readonly calls: Pick<PeerCalls, 'callEncoded'> = {
		callEncoded: (to, _body, _limit, done) => {
			this.sent.push({ at: this.clock.now(), to })
			this.done.push(done)
		},
	}
	private readonly relay = new CallRelay(this.calls, this.clock)

	relayCall(): void {
		const call = { id: 1, body: Buffer.from('{}'), hops: 0, term: 4 }
		this.relay.relay(LEADER, call, (reply) => this.replies.push(reply))
	}

	end(outcome: PeerOutcome): void {
		for (const done of this.done.splice(0)) done(outcome)
	}
}

test('the first call is sent at once, those of the next milliseconds in one batch', () => {
	const subject = new Subject()
	subject.relayCall()
	subject.clock.advance(1)
	assert.equal(subject.sent.length, 1)
	for (let count = 0; count < 5; count++) {
		subject.clock.advance(1)
		subject.relayCall()
	}
	assert.equal(subject.sent.length, 1)
	subject.clock.advance(8)
	assert.equal(subject.sent.length, 6)
	assert.equal(new Set(subject.sent.slice(1).map(({ at }) => at)).size, 1)
})

test('a call is relayed under its term, and is marked as relayed', () => {
	const subject = new Subject()
	subject.relayCall()
	subject.clock.advance(1)
	assert.deepEqual(subject.sent[0].to, { peer: LEADER, term: 4, hops: 1 })
})

test('the outcome of each call is told apart: a reply, none, or not sent', () => {
	const subject = new Subject()
	const outcomes: PeerOutcome[] = [
		{ kind: 'replied', reply: NOTED },
		{ kind: 'no-reply' },
		{ kind: 'not-sent' },
	]
	for (const outcome of outcomes) {
		subject.relayCall()
		subject.clock.advance(10)
		subject.end(outcome)
	}
	assert.deepEqual(
		subject.replies.map(({ kind }) => kind),
		['noted', 'unknown', 'not-leader']
	)
})
