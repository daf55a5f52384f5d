/**
 * Orders go through the carrier in the worker's data centre, and directly once it is
 * unresponsive.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { WorkerOrders, type OrderResult, type OrderTarget, type PollResult } from '@rillrudder/jobs'
import type { OrderBatch, OrderResults } from '@rillrudder/protocol'
import { Log } from '@rillrudder/telemetry'
import { ManualClock } from '@rillrudder/utils'
import { CarriedOrders } from './CarriedOrders'
import type { Carrier } from './CarrierSelector'
import { OrderCarrier } from './OrderCarrier'

const TERM = 7
const TICK = 20
const STOP = { task: 'j.0.0.0', attempt: 1, fence: TERM }
const POLL = { fence: TERM, endsSeen: 0, wait: 500 }

type Call = { readonly worker: string; readonly done: (result: OrderResult) => void }

/** Records orders to workers; the test answers them. */
class HeldOrders extends WorkerOrders {
	readonly calls: Call[] = []

	override start(worker: OrderTarget, _order: unknown, done: Call['done']): void {
		this.calls.push({ worker: worker.id, done })
	}
	override stop(worker: OrderTarget, _order: unknown, done: Call['done']): void {
		this.calls.push({ worker: worker.id, done })
	}
	override pace(worker: OrderTarget, _order: unknown, done: Call['done']): void {
		this.calls.push({ worker: worker.id, done })
	}
	override poll(worker: OrderTarget, _order: unknown, done: (result: PollResult) => void): void {
		this.calls.push({ worker: worker.id, done: done as Call['done'] })
	}
}

/** A leader with two carriers, one in each of two data centres. */
class Subject {
	readonly clock = new ManualClock()
	readonly direct = new HeldOrders()
	readonly remote = new Map<string, HeldOrders>()
	readonly heard = new Map<string, number>()
	linked: Carrier[] = [
		{ id: 'north-1', dataCentre: 'north' },
		{ id: 'south-1', dataCentre: 'south' },
	]
	workers = 300
	/** Stalled instances: they accept orders and send nothing. */
	readonly frozen = new Set<string>()
	readonly orders: CarriedOrders
	private readonly carriers = new Map<string, OrderCarrier>()

	constructor() {
		for (const { id } of this.linked) {
			const remote = new HeldOrders()
			this.remote.set(id, remote)
			const back = (_to: string, results: OrderResults): void => {
				if (!this.frozen.has(id)) this.orders.onResults(results)
			}
			this.carriers.set(id, new OrderCarrier(remote, this.clock, back))
			this.heard.set(id, 0)
		}
		this.orders = new CarriedOrders({
			direct: this.direct,
			term: TERM,
			incarnation: 'life',
			clock: this.clock,
			log: new Log('test', this.clock, 'silent', () => undefined),
			linkedCarriers: () => this.linked,
			lastHeardAt: (id) => this.heard.get(id) ?? Number.NEGATIVE_INFINITY,
			workerCount: () => this.workers,
			send: (to, batch) => this.send(to, batch),
		})
	}

	/** Advances the clock; carriers that are not frozen keep sending messages. */
	advance(span: number): void {
		for (let spent = 0; spent < span; spent += TICK) {
			this.orders.flush()
			this.clock.advance(TICK)
			for (const { id } of this.linked) {
				if (!this.frozen.has(id)) this.heard.set(id, this.clock.now())
			}
			this.orders.tick(this.clock.now())
		}
	}

	private send(to: string, batch: OrderBatch): boolean {
		if (!this.linked.some(({ id }) => id === to)) return false
		this.carriers.get(to)?.onOrders('leader', batch)
		return true
	}
}

function workerIn(dataCentre: string): OrderTarget {
	return { id: `w-${dataCentre}`, address: '127.0.0.1:1', dataCentre }
}

test('an order goes through the carrier in its data centre, and its result comes back', () => {
	const subject = new Subject()
	const results: OrderResult[] = []
	subject.orders.stop(workerIn('south'), STOP, (result) => results.push(result))
	subject.advance(TICK)
	assert.equal(subject.remote.get('south-1')?.calls.length, 1)
	assert.equal(subject.remote.get('north-1')?.calls.length, 0)
	assert.equal(subject.direct.calls.length, 0)
	subject.remote.get('south-1')?.calls[0].done({ kind: 'done', clock: 4 })
	subject.advance(TICK)
	assert.deepEqual(results, [{ kind: 'done', clock: 4 }])
})

test('orders in quick succession are sent in one message, the first one at once', () => {
	const subject = new Subject()
	const stop = (): void => subject.orders.stop(workerIn('south'), STOP, () => undefined)
	const carried = (): number => subject.remote.get('south-1')?.calls.length ?? 0
	stop()
	subject.orders.flush()
	assert.equal(carried(), 1)
	for (let count = 0; count < 3; count++) {
		subject.clock.advance(1)
		stop()
		subject.orders.flush()
	}
	assert.equal(carried(), 1)
	subject.clock.advance(5)
	assert.equal(carried(), 4)
})

test('orders are sent directly to a data centre without a carrier, and everywhere in a small cell', () => {
	const subject = new Subject()
	subject.orders.stop(workerIn('west'), STOP, () => undefined)
	assert.equal(subject.direct.calls.length, 1)
	const small = new Subject()
	small.workers = 33
	const orders = new CarriedOrders({
		direct: small.direct,
		term: TERM,
		incarnation: 'life',
		clock: small.clock,
		log: new Log('test', small.clock, 'silent', () => undefined),
		linkedCarriers: () => small.linked,
		lastHeardAt: () => 0,
		workerCount: () => small.workers,
		send: () => assert.fail('nothing is carried'),
	})
	orders.stop(workerIn('south'), STOP, () => undefined)
	assert.equal(small.direct.calls.length, 1)
})

test('orders of an unresponsive carrier are returned as not carried, and the next one is sent directly', () => {
	const subject = new Subject()
	const kinds: string[] = []
	subject.frozen.add('south-1')
	subject.orders.poll(workerIn('south'), POLL, ({ kind }) => kinds.push(kind))
	subject.orders.stop(workerIn('south'), STOP, ({ kind }) => kinds.push(kind))
	subject.advance(140)
	assert.deepEqual(kinds, [])
	subject.advance(60)
	assert.deepEqual(kinds, ['not-carried', 'not-carried'])
	subject.orders.stop(workerIn('south'), STOP, () => undefined)
	assert.equal(subject.direct.calls.length, 1)
	// Its late results are ignored.
	subject.frozen.delete('south-1')
	for (const { done } of subject.remote.get('south-1')?.calls ?? []) done({ kind: 'done' })
	subject.advance(TICK)
	assert.equal(kinds.length, 2)
})

test('a carrier that lost its link or timed out gets no orders for a second', () => {
	const subject = new Subject()
	const kinds: string[] = []
	subject.orders.stop(workerIn('south'), STOP, ({ kind }) => kinds.push(kind))
	subject.advance(TICK)
	subject.orders.onLinkLost('south-1')
	assert.deepEqual(kinds, ['not-carried'])
	subject.advance(900)
	subject.orders.stop(workerIn('south'), STOP, () => undefined)
	assert.equal(subject.direct.calls.length, 1)
	subject.advance(200)
	subject.orders.stop(workerIn('south'), STOP, ({ kind }) => kinds.push(kind))
	assert.equal(subject.direct.calls.length, 1)
	subject.advance(600)
	assert.deepEqual(kinds, ['not-carried', 'not-carried'])
})

test('a leader whose own tick was late takes no carrier as unresponsive', () => {
	const subject = new Subject()
	const kinds: string[] = []
	subject.orders.stop(workerIn('south'), STOP, ({ kind }) => kinds.push(kind))
	subject.orders.flush()
	subject.clock.advance(400)
	subject.orders.tick(subject.clock.now())
	assert.deepEqual(kinds, [])
})

test('results of another term are ignored', () => {
	const subject = new Subject()
	const kinds: string[] = []
	subject.orders.stop(workerIn('south'), STOP, ({ kind }) => kinds.push(kind))
	const body = Buffer.from(JSON.stringify([{ id: 1, result: { kind: 'done' } }]))
	subject.orders.onResults({ term: TERM - 1, body })
	assert.deepEqual(kinds, [])
	subject.orders.onResults({ term: TERM, body })
	assert.deepEqual(kinds, ['done'])
})
