/** Routine heartbeats are reported in batches; all others are forwarded to the leader singly. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import {
	CellState,
	encodeCommands,
	type CellReply,
	type RelayedHeartbeat,
	type Worker,
} from '@rillrudder/jobs'
import { ManualClock } from '@rillrudder/utils'
import { HeartbeatBatcher, HeartbeatHandling } from './HeartbeatBatcher'

const WORKER: Worker = {
	id: 'w1',
	service: 's',
	address: 'h:1',
	dataCentre: 'north',
	rack: 'r1',
	labels: ['a', 'r1'],
	capacity: { cpu: 4000, memory: 8192, accelerators: 0 },
	slots: 8,
}

const OTHER_WORKER: Worker = { ...WORKER, id: 'w2', address: 'h:2' }

class Subject {
	readonly clock = new ManualClock()
	readonly reports: (readonly RelayedHeartbeat[])[] = []
	readonly state = new CellState()
	answer: CellReply = { kind: 'noted' }
	hasLeader = true
	readonly heartbeats = new HeartbeatBatcher({
		workers: this.state.workers,
		clock: this.clock,
		report: (heard) => {
			this.reports.push(heard)
			return Promise.resolve(this.answer)
		},
		canReport: () => this.hasLeader,
	})

	constructor() {
		this.state.apply(encodeCommands([{ kind: 'worker', worker: WORKER }]))
	}

	isBatched(sequence: number, changes: Partial<Worker> = {}, draining = false): boolean {
		return this.handle(sequence, changes, draining) === HeartbeatHandling.Batched
	}

	handle(sequence: number, changes: Partial<Worker> = {}, draining = false): HeartbeatHandling {
		return this.heartbeats.handle({ worker: { ...WORKER, ...changes }, sequence, draining })
	}

	defer(sequence: number, worker = WORKER): Promise<boolean> {
		return this.heartbeats.defer({ worker, sequence, draining: false })
	}

	/** Advances the clock and lets replies resolve. */
	async advance(span: number): Promise<void> {
		for (let spent = 0; spent < span; spent += 100) {
			this.clock.advance(100)
			await Promise.resolve()
			await Promise.resolve()
		}
	}
}

test('a batch reports each worker once, with the age of its last heartbeat', () => {
	const subject = new Subject()
	assert.ok(subject.isBatched(4))
	subject.clock.advance(100)
	assert.ok(subject.isBatched(5))
	subject.clock.advance(300)
	assert.deepEqual(subject.reports, [[{ worker: 'w1', sequence: 5, clock: undefined, age: 200 }]])
})

test('heartbeats of unknown, changed, draining and removed workers are not batched', () => {
	const subject = new Subject()
	assert.equal(subject.isBatched(1, { id: 'w2', address: 'h:2' }), false)
	assert.equal(subject.isBatched(1, { id: 'w2' }), false)
	assert.equal(subject.isBatched(1, { capacity: { cpu: 1, memory: 1, accelerators: 0 } }), false)
	assert.equal(subject.isBatched(1, {}, true), false)
	subject.state.apply(encodeCommands([{ kind: 'gone', worker: 'w1', at: 0 }]))
	assert.equal(subject.isBatched(2), false)
})

test('without a reachable leader, heartbeats are not acknowledged from a batch', async () => {
	const subject = new Subject()
	subject.hasLeader = false
	assert.equal(subject.isBatched(1), false)
	subject.hasLeader = true
	subject.answer = { kind: 'not-run', reason: 'no leader', retryAfter: 1000 }
	assert.ok(subject.isBatched(2))
	subject.clock.advance(300)
	await Promise.resolve()
	await Promise.resolve()
	assert.equal(subject.isBatched(3), false)
	subject.clock.advance(1500)
	assert.ok(subject.isBatched(4))
})

// Guards against keeping a busy leader busy: heartbeats that it had not answered in time were forwarded
// one by one, thousands of calls a second.
test('heartbeats that a busy leader has not answered are reported again with later ones, never one by one', async () => {
	const subject = new Subject()
	subject.answer = { kind: 'unknown', reason: 'no answer from a leader' }
	assert.equal(subject.handle(1), HeartbeatHandling.Batched)
	await subject.advance(400)
	assert.equal(subject.handle(2), HeartbeatHandling.Batched)
	subject.answer = { kind: 'noted' }
	await subject.advance(400)
	assert.equal(subject.reports.at(-1)?.[0].sequence, 2)
	assert.ok(subject.reports.length <= 3)
	const before = subject.reports.length
	await subject.advance(1000)
	assert.equal(subject.reports.length, before)
})

test('while the leader keeps not answering, workers are sent to other instances at once', async () => {
	const subject = new Subject()
	subject.answer = { kind: 'unknown', reason: 'no answer from a leader' }
	assert.equal(subject.handle(1), HeartbeatHandling.Batched)
	await subject.advance(2000)
	assert.equal(subject.handle(2), HeartbeatHandling.Refused)
	subject.answer = { kind: 'noted' }
	await subject.advance(400)
	assert.equal(subject.reports.at(-1)?.[0].sequence, 1)
	assert.equal(subject.handle(3), HeartbeatHandling.Batched)
})

// Guards against a new leader that loses its lease to what arrives in its first second: heartbeats that
// had waited for it one by one, each a call of its own.
test('heartbeats that wait for a leader are reported to the new one in one batch', async () => {
	const subject = new Subject()
	subject.state.apply(encodeCommands([{ kind: 'worker', worker: OTHER_WORKER }]))
	subject.hasLeader = false
	assert.equal(subject.handle(1), HeartbeatHandling.Deferred)
	const first = subject.defer(1)
	const second = subject.defer(1, OTHER_WORKER)
	await subject.advance(300)
	assert.equal(subject.reports.length, 0)
	subject.hasLeader = true
	await subject.advance(500)
	assert.deepEqual(await Promise.all([first, second]), [true, true])
	assert.deepEqual(
		subject.reports.map((report) => report.map(({ worker }) => worker)),
		[['w1', 'w2']]
	)
})

test('a heartbeat that finds no leader in time is refused, so that its worker calls another instance', async () => {
	const subject = new Subject()
	subject.hasLeader = false
	const outcome = subject.defer(1)
	await subject.advance(800)
	assert.equal(await outcome, false)
	subject.hasLeader = true
	await subject.advance(500)
	assert.equal(subject.reports.length, 0)
})
