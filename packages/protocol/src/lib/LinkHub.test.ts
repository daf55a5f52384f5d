import assert from 'node:assert/strict'
import { createServer, type AddressInfo, type Socket } from 'node:net'
import { test } from 'node:test'
import { ManualClock, type Timer } from '@rillrudder/utils'
import { LinkHub } from './LinkHub'
import { linkSecurity } from './security'

const LONGEST_RETRY = 150
const TRIES = 8
const SILENCE = 1200

/** @returns an address that nobody listens on. */
async function deadAddress(): Promise<string> {
	const server = createServer()
	await new Promise<void>((done) => server.listen(0, '127.0.0.1', done))
	const { port } = server.address() as AddressInfo
	await new Promise((done) => server.close(done))
	return `127.0.0.1:${port}`
}

test('a peer that stays away is dialled again after the longest pause at the latest', async () => {
	const clock = new ManualClock()
	const address = await deadAddress()
	let tries = 0
	let lost = (): void => undefined
	const hub = new LinkHub({
		self: 'a',
		clock,
		...linkSecurity(undefined),
		receive: () => undefined,
		changed: (_, connected) => {
			if (connected) tries += 1
			else lost()
		},
		longestRetry: LONGEST_RETRY,
	})
	for (let number = 1; number <= TRIES; number++) {
		const failed = new Promise<void>((done) => (lost = done))
		if (number === 1) hub.dial('b', address)
		else clock.advance(LONGEST_RETRY)
		assert.equal(tries, number)
		await failed
	}
	hub.close()
})

test('a connection that never says anything is given up for another one, ever more patiently', async () => {
	const clock = new ManualClock()
	const sockets: Socket[] = []
	let opened = (): void => undefined
	const server = createServer((socket) => {
		sockets.push(socket)
		opened()
	})
	await new Promise<void>((done) => server.listen(0, '127.0.0.1', done))
	const { port } = server.address() as AddressInfo
	const hub = new LinkHub({
		self: 'a',
		clock,
		...linkSecurity(undefined),
		receive: () => undefined,
		changed: () => undefined,
		silence: SILENCE,
	})
	for (const wait of [0, 300, 500, 700, 1100, SILENCE, SILENCE]) {
		const next = new Promise<void>((done) => (opened = done))
		if (wait === 0) hub.dial('b', `127.0.0.1:${port}`)
		else clock.advance(wait - 100)
		const before = sockets.length
		if (wait > 0) clock.advance(100)
		await next
		assert.equal(sockets.length, before + 1)
	}
	hub.close()
	for (const socket of sockets) socket.destroy()
	await new Promise((done) => server.close(done))
})

/** A clock that counts how often it wakes anybody. */
class WakingClock extends ManualClock {
	wakes = 0

	override after(delay: number, call: () => void): Timer {
		return super.after(delay, () => {
			this.wakes += 1
			call()
		})
	}
}

// Guards against processes that are woken many times a second to find that nothing has happened.
test('a hub wakes its process only when a connection may be silent for too long', async () => {
	const clock = new WakingClock()
	const quiet = new LinkHub({
		self: 'a',
		clock,
		...linkSecurity(undefined),
		receive: () => undefined,
		changed: () => undefined,
		silence: SILENCE,
	})
	clock.advance(10 * SILENCE)
	assert.equal(clock.wakes, 0)
	const address = await deadAddress()
	quiet.dial('b', address)
	clock.advance(250)
	assert.equal(clock.wakes, 0)
	quiet.close()
})
