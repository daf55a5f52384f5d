/**
 * An entry instance of a third of the others' size gets as many callers as they do: it sheds new
 * ones before its answers come too late.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { CellReply } from '@rillrudder/jobs'
import { Log, Meter } from '@rillrudder/telemetry'
import { ManualClock } from '@rillrudder/utils'
import fc from 'fast-check'
import { EntryLoad } from './EntryLoad'
import { maxCalls, UNKNOWN_CAPACITY, type InstanceCapacity } from './InstanceCapacity'
import { LATE_LOOP_MS, LoopDelay } from './LoopDelay'
import { LoadShedder } from './LoadShedder'

const PERIOD = 250
const LARGE: InstanceCapacity = { processor: 810, memory: 490, link: 5 }
const SMALL: InstanceCapacity = { processor: 243, memory: 210, link: 1.5 }
const ACCEPTED: CellReply = { kind: 'accepted' }

class Subject {
	readonly clock = new ManualClock()
	readonly lines: string[] = []
	readonly load: EntryLoad
	/** Ends the calls in flight. */
	readonly ends: (() => void)[] = []

	constructor(capacity = SMALL) {
		const log = new Log('test', this.clock, 'info', (line) => this.lines.push(line))
		const parts = { capacity, clock: this.clock, log, meter: new Meter(), period: PERIOD }
		this.load = new EntryLoad(parts)
	}

	/** Advances the clock with a loop that is late by `delay` each time. */
	advance(span: number, delay = 0): void {
		for (let spent = 0; spent < span; spent += PERIOD + delay) {
			this.clock.advance(PERIOD + delay)
			this.load.tick()
		}
	}

	/** Starts a call that stays in flight. */
	startCall(): void {
		const never = new Promise<CellReply>((resolve) => this.ends.push(() => resolve(ACCEPTED)))
		void this.load.track(() => never)
	}

	async outcome(): Promise<string> {
		return (await this.load.track(() => Promise.resolve(ACCEPTED))).kind
	}
}

test('a loop that stays late sheds new connections, and accepts them again once it has been punctual for a while', async () => {
	const subject = new Subject()
	subject.advance(3000, 100)
	assert.equal(subject.load.acceptsConnections, false)
	assert.equal(await subject.outcome(), 'accepted')
	subject.advance(2000)
	assert.equal(subject.load.acceptsConnections, false)
	subject.advance(4000)
	assert.equal(subject.load.acceptsConnections, true)
	assert.equal(subject.lines.length, 2)
})

test('a loop that is a second late refuses nothing: only a leader can tell that a job was not accepted', async () => {
	const subject = new Subject()
	subject.advance(6000, 1000)
	assert.equal(subject.load.acceptsConnections, false)
	assert.equal(await subject.outcome(), 'accepted')
})

test('calls beyond half of what link and memory hold shed new connections, sooner at a small instance', async () => {
	assert.ok(maxCalls(SMALL) < maxCalls(LARGE) / 2)
	assert.equal(maxCalls(UNKNOWN_CAPACITY), Number.POSITIVE_INFINITY)
	const [small, large] = [new Subject(SMALL), new Subject(LARGE)]
	for (let calls = 0; calls < maxCalls(SMALL); calls++) {
		small.startCall()
		large.startCall()
	}
	small.advance(PERIOD)
	large.advance(PERIOD)
	assert.equal(small.load.acceptsConnections, false)
	assert.equal(large.load.acceptsConnections, true)
	for (const end of small.ends) end()
	await Promise.resolve()
	small.advance(8000)
	assert.equal(small.load.acceptsConnections, true)
})

test('with unknown capacity and a punctual loop everything is accepted', async () => {
	const subject = new Subject(UNKNOWN_CAPACITY)
	for (let calls = 0; calls < 5000; calls++) subject.startCall()
	subject.advance(2000, 10)
	assert.equal(subject.load.acceptsConnections, true)
	assert.equal(await subject.outcome(), 'accepted')
})

test('below the thresholds nothing is ever shed', () => {
	const calm = fc.record({
		loopDelay: fc.double({ min: 0, max: LATE_LOOP_MS - 1, noNaN: true }),
		fill: fc.double({ min: 0, max: 0.49, noNaN: true }),
	})
	const neverSheds = fc.property(fc.array(calm), (readings) => {
		const shedder = new LoadShedder()
		readings.forEach((reading, index) => shedder.update(reading, index * PERIOD))
		assert.equal(shedder.isShedding, false)
	})
	fc.assert(neverSheds, { numRuns: 200, seed: 36 })
})

test('a single stall of the process is not load, a loop that stays late is', () => {
	const delay = new LoopDelay(PERIOD, 0)
	delay.onTimer(PERIOD)
	delay.onTimer(5000)
	delay.onTimer(5000 + PERIOD)
	assert.equal(delay.mean, 0)
	for (let number = 1; number <= 10; number++) delay.onTimer(5250 + number * (PERIOD + 100))
	assert.ok(delay.mean > LATE_LOOP_MS)
})
