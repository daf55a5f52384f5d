/** Replies to callers across leader changes: `not-run` only if it is certain. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { CellCall, CellReply } from '@rillrudder/jobs'
import type { Event } from '@rillrudder/protocol'
import { Meter } from '@rillrudder/telemetry'
import { ManualClock } from '@rillrudder/utils'
import { LeaderCalls, type RetryLimits, type LocalLeader } from './LeaderCalls'
import { decodeCall } from './messageBodies'
import type { KnownLeader } from './LeaderView'
import { PeerCalls } from './PeerCalls'

const CALL: CellCall = { kind: 'read-configuration' }
const SUBMIT: CellCall = {
	kind: 'submit',
	to: { queue: 'checks', id: '00000000000000aa' },
	job: { spec: '', steps: [] },
}
const LIMITS: RetryLimits = { leaderWait: 800, limit: 1500 }
/** Limits of a caller who waits longer than it takes to find a leader. */
const PATIENT_LIMITS: RetryLimits = { ...LIMITS, limitOnceSent: 2400 }

class Subject {
	readonly clock = new ManualClock()
	readonly sent: { readonly to: string; readonly id: number; readonly term: number }[] = []
	/** The calls that were sent. */
	readonly calls: (CellCall | undefined)[] = []
	leader: KnownLeader | undefined
	reachable = true
	reply: CellReply | undefined
	/** Term that this instance leads; undefined if it doesn't. */
	localTerm: number | undefined
	/** Replies to the last call that this instance handled as the leader. */
	answerHere: ((reply: CellReply) => void) | undefined
	private readonly peers = new PeerCalls(this.clock, (peer, event) => this.send(peer, event))
	private readonly leaderCalls = new LeaderCalls({
		clock: this.clock,
		calls: this.peers,
		meter: new Meter(),
		leader: () => this.leader,
		incarnation: 'first',
		localLeader: () => this.localLeader(),
	})

	get outcome(): string | undefined {
		return this.reply?.kind
	}

	start(call = CALL, limits = LIMITS): void {
		void this.leaderCalls.call(call, limits).then((reply) => (this.reply = reply))
	}

	answer(reply: CellReply): void {
		const last = this.sent[this.sent.length - 1]
		this.peers.onReply({ id: last.id, body: Buffer.from(JSON.stringify(reply)) })
	}

	lose(peer: string): void {
		this.peers.onLinkLost(peer)
	}

	/** Advances the clock and lets promises settle. */
	async run(span: number): Promise<void> {
		for (let spent = 0; spent < span; spent += 10) {
			this.clock.advance(10)
			await Promise.resolve()
		}
		await new Promise((done) => setImmediate(done))
	}

	private localLeader(): LocalLeader | undefined {
		const term = this.localTerm
		if (term === undefined) return undefined
		return { term, call: (_call, done) => (this.answerHere = done) }
	}

	private send(to: string, { body }: Event): boolean {
		if (!this.reachable || body?.$case !== 'peerCall') return false
		this.calls.push(decodeCall(body.value.body))
		this.sent.push({ to, id: body.value.id, term: body.value.term })
		return true
	}
}

const leader = (id: string, term: number): KnownLeader => ({ id, term, via: [id] })

test('without a leader a call waits as long as a leader change takes, then is replied to as not run', async () => {
	const subject = new Subject()
	subject.start()
	await subject.run(600)
	assert.equal(subject.outcome, undefined)
	await subject.run(300)
	assert.equal(subject.outcome, 'not-run')
	assert.equal(subject.sent.length, 0)
})

test('an instance that has long been without a leader refuses calls at once', async () => {
	const subject = new Subject()
	await subject.run(2000)
	subject.start()
	await subject.run(10)
	assert.equal(subject.outcome, 'not-run')
})

test('a call that was sent and not answered is never reported as not run', async () => {
	const subject = new Subject()
	subject.leader = leader('a', 1)
	subject.start()
	await subject.run(10)
	subject.leader = undefined
	subject.lose('a')
	await subject.run(2000)
	assert.equal(subject.outcome, 'unknown')
})

test('a call is sent again to the next leader, under its term', async () => {
	const subject = new Subject()
	subject.leader = leader('a', 1)
	subject.start()
	await subject.run(10)
	subject.lose('a')
	subject.leader = leader('b', 2)
	await subject.run(100)
	assert.deepEqual(
		subject.sent.map(({ to, term }) => [to, term]),
		[
			['a', 1],
			['b', 2],
		]
	)
	subject.answer({ kind: 'accepted' })
	await subject.run(10)
	assert.equal(subject.outcome, 'accepted')
})

test('a not-leader reply means that the call was not run, also if no leader is found later', async () => {
	const subject = new Subject()
	subject.leader = leader('a', 1)
	subject.start()
	await subject.run(10)
	subject.answer({ kind: 'not-leader' })
	subject.leader = undefined
	await subject.run(1500)
	assert.equal(subject.outcome, 'not-run')
})

test('a call that could not be sent is reported as not run', async () => {
	const subject = new Subject()
	subject.leader = leader('a', 1)
	subject.reachable = false
	subject.start()
	await subject.run(1700)
	assert.equal(subject.outcome, 'not-run')
})

test('a job that an earlier try may have submitted is not refused: key, queue or quota may have changed since', async () => {
	const refusals: CellReply[] = [
		{ kind: 'unauthorized' },
		{ kind: 'no-such-queue' },
		{ kind: 'id-taken' },
		{ kind: 'impossible', reason: 'quota' },
		{ kind: 'not-run', reason: 'too many jobs', retryAfter: 1000 },
	]
	for (const refusal of refusals) {
		const subject = new Subject()
		subject.leader = leader('a', 1)
		subject.start(SUBMIT)
		await subject.run(10)
		subject.lose('a')
		subject.leader = leader('b', 2)
		await subject.run(100)
		subject.answer(refusal)
		await subject.run(10)
		assert.equal(subject.outcome, 'unknown')
	}
})

test('a refusal of the first try is returned as it is', async () => {
	const subject = new Subject()
	subject.leader = leader('a', 1)
	subject.start(SUBMIT)
	await subject.run(10)
	subject.answer({ kind: 'unauthorized' })
	await subject.run(10)
	assert.equal(subject.outcome, 'unauthorized')
})

/** @returns the call ids that the leaders received. */
function callIdsSent(subject: Subject): unknown[] {
	return subject.calls.map((call) => (call as { readonly call?: unknown }).call)
}

test('all tries of a submission carry one call id, and another submission carries another', async () => {
	const subject = new Subject()
	subject.leader = leader('a', 1)
	subject.start(SUBMIT)
	await subject.run(10)
	subject.lose('a')
	subject.leader = leader('b', 2)
	await subject.run(100)
	subject.start(SUBMIT)
	await subject.run(10)
	const [first, again, other] = callIdsSent(subject)
	assert.deepEqual(first, { instance: 'first', number: 1 })
	assert.deepEqual(again, first)
	assert.deepEqual(other, { instance: 'first', number: 2 })
})

const SETTLED: CellReply = {
	kind: 'settled',
	refusal: { kind: 'not-run', reason: 'too many jobs', retryAfter: 1000 },
}

test('a settled refusal of the leader is returned to the caller, also after an unanswered try', async () => {
	const subject = new Subject()
	subject.leader = leader('a', 1)
	subject.start(SUBMIT)
	await subject.run(10)
	subject.lose('a')
	subject.leader = leader('b', 2)
	await subject.run(100)
	subject.answer(SETTLED)
	await subject.run(10)
	assert.equal(subject.outcome, 'not-run')
})

test('a settled refusal of an earlier leader does not cover a try that was sent to a later one', async () => {
	const subject = new Subject()
	subject.leader = leader('b', 2)
	subject.start(SUBMIT)
	await subject.run(10)
	subject.lose('b')
	subject.leader = leader('a', 1)
	await subject.run(100)
	subject.answer(SETTLED)
	await subject.run(10)
	assert.equal(subject.outcome, 'unknown')
})

test('a call that may have run is retried until a leader reports its outcome, as long as its caller waits', async () => {
	const subject = new Subject()
	subject.leader = leader('a', 1)
	subject.start(SUBMIT, PATIENT_LIMITS)
	await subject.run(10)
	subject.leader = undefined
	subject.lose('a')
	await subject.run(1900)
	assert.equal(subject.outcome, undefined)
	subject.leader = leader('b', 2)
	await subject.run(100)
	subject.answer({ kind: 'accepted' })
	await subject.run(10)
	assert.equal(subject.outcome, 'accepted')
})

test('a settled refusal of an earlier leader does not cover a try that this instance may have accepted in a later term', async () => {
	const subject = new Subject()
	subject.localTerm = 2
	subject.start(SUBMIT)
	await subject.run(10)
	subject.localTerm = undefined
	subject.answerHere?.({ kind: 'unknown', reason: 'the leader has changed' })
	subject.leader = leader('a', 1)
	await subject.run(100)
	subject.answer(SETTLED)
	await subject.run(10)
	assert.equal(subject.outcome, 'unknown')
})

test('a settled refusal of this instance as the newest leader covers a try that was sent to an earlier one', async () => {
	const subject = new Subject()
	subject.leader = leader('a', 1)
	subject.start(SUBMIT)
	await subject.run(10)
	subject.localTerm = 2
	subject.lose('a')
	await subject.run(100)
	subject.answerHere?.(SETTLED)
	await subject.run(10)
	assert.equal(subject.outcome, 'not-run')
})

test('an abandoned call is not sent to the next leader: its caller may have been refused elsewhere meanwhile', async () => {
	const subject = new Subject()
	let gone = false
	subject.leader = leader('a', 1)
	subject.start(SUBMIT, { ...PATIENT_LIMITS, isAbandoned: () => gone })
	await subject.run(10)
	gone = true
	subject.lose('a')
	subject.leader = leader('b', 2)
	await subject.run(500)
	assert.deepEqual(
		subject.sent.map(({ to }) => to),
		['a']
	)
	assert.equal(subject.outcome, 'unknown')
})
