/** Heartbeats that bring nothing new are told together; everything else goes to the leader by itself. */
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
import { GatheredHeartbeats, HeartbeatFate } from './GatheredHeartbeats'

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

class Subject {
	readonly clock = new ManualClock()
	readonly told: (readonly RelayedHeartbeat[])[] = []
	readonly state = new CellState()
	answer: CellReply = { kind: 'noted' }
	led = true
	readonly heartbeats = new GatheredHeartbeats({
		workers: this.state.workers,
		clock: this.clock,
		tell: (heard) => {
			this.told.push(heard)
			return Promise.resolve(this.answer)
		},
		mayTell: () => this.led,
	})

	constructor() {
		this.state.apply(encodeCommands([{ kind: 'worker', worker: WORKER }]))
	}

	beat(sequence: number, changes: Partial<Worker> = {}, draining = false): boolean {
		return this.fateOf(sequence, changes, draining) === HeartbeatFate.Gathered
	}

	fateOf(sequence: number, changes: Partial<Worker> = {}, draining = false): HeartbeatFate {
		return this.heartbeats.take({ worker: { ...WORKER, ...changes }, sequence, draining })
	}

	/** Lets time pass, and answers come. */
	async run(span: number): Promise<void> {
		for (let spent = 0; spent < span; spent += 100) {
			this.clock.advance(100)
			await Promise.resolve()
			await Promise.resolve()
		}
	}
}

test('heartbeats of a while are told at once, each worker once, with how long ago it was heard', () => {
	const subject = new Subject()
	assert.ok(subject.beat(4))
	subject.clock.advance(100)
	assert.ok(subject.beat(5))
	subject.clock.advance(300)
	assert.deepEqual(subject.told, [[{ worker: 'w1', sequence: 5, clock: undefined, age: 200 }]])
})

test('what the replica does not know, what changes and what leaves is not gathered', () => {
	const subject = new Subject()
	assert.equal(subject.beat(1, { id: 'w2', address: 'h:2' }), false)
	assert.equal(subject.beat(1, { id: 'w2' }), false)
	assert.equal(subject.beat(1, { capacity: { cpu: 1, memory: 1, accelerators: 0 } }), false)
	assert.equal(subject.beat(1, {}, true), false)
	subject.state.apply(encodeCommands([{ kind: 'gone', worker: 'w1', at: 0 }]))
	assert.equal(subject.beat(2), false)
})

test('without a leader that can be told, workers are not told that they were heard', async () => {
	const subject = new Subject()
	subject.led = false
	assert.equal(subject.beat(1), false)
	subject.led = true
	subject.answer = { kind: 'not-run', reason: 'no leader', retryAfter: 1000 }
	assert.ok(subject.beat(2))
	subject.clock.advance(300)
	await Promise.resolve()
	await Promise.resolve()
	assert.equal(subject.beat(3), false)
	subject.clock.advance(1500)
	assert.ok(subject.beat(4))
})

// Guards against a busy leader that is kept busy: what it could not answer in time was sent again singly, thousands of calls a second.
test('heartbeats that a busy leader has not answered are told again with later ones, and never each by itself', async () => {
	const subject = new Subject()
	subject.answer = { kind: 'unknown', reason: 'no answer from a leader' }
	assert.equal(subject.fateOf(1), HeartbeatFate.Gathered)
	await subject.run(400)
	assert.equal(subject.fateOf(2), HeartbeatFate.Gathered)
	subject.answer = { kind: 'noted' }
	await subject.run(400)
	assert.equal(subject.told.at(-1)?.[0].sequence, 2)
	assert.ok(subject.told.length <= 3)
	const before = subject.told.length
	await subject.run(1000)
	assert.equal(subject.told.length, before)
})

test('where the leader goes on giving no answer, workers are sent to other instances at once, until it answers', async () => {
	const subject = new Subject()
	subject.answer = { kind: 'unknown', reason: 'no answer from a leader' }
	assert.equal(subject.fateOf(1), HeartbeatFate.Gathered)
	await subject.run(2000)
	assert.equal(subject.fateOf(2), HeartbeatFate.Refused)
	subject.answer = { kind: 'noted' }
	await subject.run(400)
	assert.equal(subject.told.at(-1)?.[0].sequence, 1)
	assert.equal(subject.fateOf(3), HeartbeatFate.Gathered)
})
