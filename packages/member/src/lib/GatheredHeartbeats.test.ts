/** Heartbeats that bring nothing new are told together; everything else goes to the leader by itself. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import {
	CellState,
	encodeCommands,
	type CellReply,
	type HeardWorker,
	type Worker,
} from '@rillrudder/jobs'
import { ManualClock } from '@rillrudder/utils'
import { GatheredHeartbeats } from './GatheredHeartbeats'

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
	readonly told: (readonly HeardWorker[])[] = []
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
		return this.heartbeats.take({ worker: { ...WORKER, ...changes }, sequence, draining })
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
