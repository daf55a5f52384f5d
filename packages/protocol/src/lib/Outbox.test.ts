/** Events go out on the newest stream, and on an older one when that ends. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { Event, Parcel } from './generated/rillrudder/v1/link'
import { Outbox, type ParcelStream } from './Outbox'

class Stream implements ParcelStream {
	readonly parcels: Parcel[] = []

	write(parcel: Parcel, done: (fault?: Error | null) => void): boolean {
		this.parcels.push(parcel)
		queueMicrotask(() => done())
		return true
	}

	get events(): number {
		return this.parcels.reduce((sum, parcel) => sum + parcel.events.length, 0)
	}
}

const EVENT: Event = { body: { $case: 'peerReply', value: { id: 1, body: Buffer.alloc(0) } } }
const turn = () => new Promise((done) => setImmediate(done))

test('events of one turn go out in one parcel on the newest stream', async () => {
	const outbox = new Outbox('self')
	const [older, newer] = [new Stream(), new Stream()]
	outbox.connect(older)
	outbox.connect(newer)
	outbox.send(EVENT)
	outbox.send(EVENT)
	await turn()
	assert.equal(older.parcels.length, 0)
	assert.equal(newer.parcels.length, 1)
	assert.equal(newer.events, 2)
})

// Guards against a peer that is never brought up to date: one parcel took longer than it waits for a sign of life.
test('a parcel is no larger than a busy process sends before its peer takes the link for dead', async () => {
	const outbox = new Outbox('self')
	const stream = new Stream()
	outbox.connect(stream)
	for (let count = 0; count < 10; count++) {
		const body = Buffer.alloc(100 * 1024)
		outbox.send({ body: { $case: 'orderBatch', value: { term: 1, body } } })
	}
	await turn()
	assert.equal(stream.events, 10)
	const sizes = stream.parcels.map((parcel) => parcel.events.length)
	assert.deepEqual(sizes, [3, 3, 3, 1])
})

test('an older stream takes over when the newest ends', async () => {
	const outbox = new Outbox('self')
	const [older, newer] = [new Stream(), new Stream()]
	outbox.connect(older)
	outbox.connect(newer)
	outbox.disconnect(newer)
	assert.equal(outbox.connected, true)
	outbox.send(EVENT)
	await turn()
	assert.equal(older.events, 1)
	outbox.disconnect(older)
	assert.equal(outbox.connected, false)
	assert.equal(outbox.send(EVENT), false)
})

test('a greeting goes out on every stream, so that the peer sees each one alive', async () => {
	const outbox = new Outbox('self')
	const streams = [new Stream(), new Stream(), new Stream()]
	for (const stream of streams) outbox.connect(stream)
	outbox.greetAll()
	await turn()
	assert.deepEqual(
		streams.map((stream) => stream.parcels.length),
		[1, 1, 1]
	)
})

/** @returns how many parcels go out on a link in twelve looks for silence with events at some of them. */
async function parcelsWithEventsAt(looks: readonly number[]): Promise<number> {
	const outbox = new Outbox('self')
	const stream = new Stream()
	outbox.connect(stream)
	for (let look = 0; look < 12; look++) {
		if (looks.includes(look)) outbox.send(EVENT)
		await turn()
		outbox.greetAll(2)
		await turn()
	}
	return stream.parcels.length
}

// Guards against a leader with hundreds of links that spends a tenth of its processor time on greetings.
test('a link with regular events gets no greetings, a silent one gets one in every third look', async () => {
	assert.equal(await parcelsWithEventsAt([0, 3, 6, 9]), 4)
	assert.equal(await parcelsWithEventsAt([]), 4)
})
