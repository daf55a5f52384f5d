/** A carrier whose event loop is late loses workers, a few at a time. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Log, Meter } from '@rillrudder/telemetry'
import { ManualClock } from '@rillrudder/utils'
import { CarrierSelector } from '../carriers/CarrierSelector'
import { CarrierWeights } from './CarrierWeights'
import { PeerLoads } from './PeerLoads'

const SECOND = 1000
const CARRIERS = ['10.1.0.16:7720', '10.1.0.17:7720'].map((id) => ({ id, dataCentre: 'north' }))
const [LATE, OTHER] = CARRIERS.map(({ id }) => id)
const WORKERS = Array.from({ length: 1000 }, (_, number) => `i-${(number * 7919).toString(16)}`)

class Subject {
	readonly loads = new PeerLoads()
	readonly lines: string[] = []
	private readonly clock = new ManualClock()
	private readonly log = new Log('test', this.clock, 'info', (line) => this.lines.push(line))
	private readonly weights = new CarrierWeights(this.loads, this.log, new Meter())
	private readonly selector = new CarrierSelector()

	reportLoad(id: string, loopDelay: number, now: number, processor = 1080): void {
		this.loads.update(id, { processor, loopDelay, fill: 0 }, now)
	}

	kept(now: number): number[] {
		return this.weights.weigh(CARRIERS, now).map(({ kept }) => kept)
	}

	/** @returns the number of workers of a carrier at a given time. */
	workersOf(id: string, now: number): number {
		this.selector.setCarriers(this.weights.weigh(CARRIERS, now))
		const carriers = WORKERS.map((worker) =>
			this.selector.carrierFor({ id: worker, address: '', dataCentre: 'north' })
		)
		return carriers.filter((carrier) => carrier === id).length
	}
}

test('a late carrier loses a tenth of its workers per second, down to a fifth, and regains them at the same rate', () => {
	const subject = new Subject()
	const all = subject.workersOf(LATE, 0)
	let before = all
	for (let second = 1; second <= 10; second++) {
		subject.reportLoad(LATE, 100, second * SECOND)
		subject.reportLoad(OTHER, 0, second * SECOND)
		const workers = subject.workersOf(LATE, second * SECOND)
		assert.ok(before - workers <= all * 0.15, `${before} to ${workers}`)
		before = workers
	}
	assert.deepEqual(subject.kept(10 * SECOND), [0.2, 1])
	assert.ok(before < all * 0.3)
	for (let second = 11; second <= 18; second++) {
		subject.reportLoad(LATE, 0, second * SECOND)
		subject.kept(second * SECOND)
	}
	assert.equal(subject.workersOf(LATE, 19 * SECOND), all)
	assert.equal(subject.lines.length, 16)
	assert.ok(subject.lines[0].includes('carrier-weight-changed'))
})

test('an outdated load report has no effect', () => {
	const subject = new Subject()
	subject.reportLoad(LATE, 500, 0)
	assert.deepEqual(subject.kept(2001), [1, 1])
})

test('a delay between punctual and late changes nothing', () => {
	const subject = new Subject()
	for (let second = 0; second < 5; second++) {
		subject.reportLoad(LATE, 40, second * SECOND)
		assert.deepEqual(subject.kept(second * SECOND), [1, 1])
	}
})

test('a reconnected carrier without news yet takes no worker from the others', () => {
	const subject = new Subject()
	subject.reportLoad(LATE, 0, 0, 540)
	subject.reportLoad(OTHER, 0, 0)
	subject.workersOf(LATE, 0)
	subject.loads.onLinkLost(OTHER)
	const without = subject.workersOf(LATE, 0)
	subject.reportLoad(OTHER, 0, 0, 540)
	assert.ok(without <= subject.workersOf(LATE, 0))
})
