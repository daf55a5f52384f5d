/** Bounds the work of a pass in a full cell with many waiting steps. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { Ledger, LedgerWorker } from '@rillrudder/scheduler'
import { LeaderSubject } from '../../testing/LeaderSubject'
import { jobOf } from '../../testing/samples'
import { WorkerView } from '../workers/WorkerView'

const WORKERS = Array.from({ length: 40 }, (_, number) => `w${number}`)
const WAITING = 60
const WHOLE_WORKER = { need: { cpu: 4000, memory: 512, accelerators: 0 } }
const TICK_MS = 20
/** A full pass is due every fifth tick, so one of a few ends falls between two of them. */
const ENDED_RUNS = 5
/** Reads of free capacity allowed for each worker, and for each step tried on a worker. */
const READS_EACH = 4

function idOf(number: number): string {
	return number.toString(16).padStart(16, '0')
}

/** Counts how often the free capacity of any worker is read. */
class CapacityReads {
	count = 0

	constructor(ledger: Ledger) {
		for (const worker of ledger.all()) this.watch(worker)
	}

	private watch(worker: LedgerWorker): void {
		let { free } = worker
		Object.defineProperty(worker, 'free', {
			get: () => {
				this.count += 1
				return free
			},
			set: (value) => (free = value),
		})
	}
}

/** A cell in which every worker is full and further steps wait. */
function fullCell(): LeaderSubject {
	const subject = new LeaderSubject()
	for (const id of WORKERS) subject.heartbeat(id)
	const jobs = WORKERS.length + WAITING
	for (let number = 1; number <= jobs; number++) subject.submit(idOf(number), jobOf(WHOLE_WORKER))
	subject.run(1000, ...WORKERS)
	return subject
}

/**
 * Ends a run and advances time until another run starts in its place.
 *
 * @returns how often free capacity was read in the tick of that start, whose pass may have been a
 * full one.
 */
function readsUntilNextStart(subject: LeaderSubject, reads: CapacityReads, ended: number): number {
	const worker = WORKERS[ended]
	subject.worker(worker).end(subject.worker(worker).running[0].task, 'done')
	const before = subject.startCount
	while (subject.startCount === before) {
		reads.count = 0
		subject.run(TICK_MS)
	}
	return reads.count
}

// Guards against a leader that spends its time on steps that can't start: each end of a run made it
// check every worker for every waiting step.
test('when one worker has free capacity, waiting steps are tried only there', () => {
	const subject = fullCell()
	const reads = new CapacityReads(subject.ledger)
	const counts = Array.from({ length: ENDED_RUNS }, (_, ended) =>
		readsUntilNextStart(subject, reads, ended)
	)
	const least = Math.min(...counts)
	const most = (WAITING + WORKERS.length) * READS_EACH
	assert.ok(least <= most, `${counts.join()} reads, ${most} at most`)
})

const MANY_WORKERS = 600
const FULL_PASSES_PER_SECOND = 10
/**
 * Worker lookups allowed per step and full pass while the step waits for its policy's answer; its
 * questions name few workers.
 */
const MAX_LOOKUPS_PER_STEP = 20
const SLOW_POLICY = { advice: { base: 2000, each: 0.3, valid: 10_000 } }

/** Counts worker lookups by reads of the worker id. */
function countLookups(during: () => void): number {
	const { get } = Object.getOwnPropertyDescriptor(WorkerView.prototype, 'id')!
	let count = 0
	const counted = function (this: WorkerView): unknown {
		count += 1
		return get!.call(this)
	}
	Object.defineProperty(WorkerView.prototype, 'id', { get: counted, configurable: true })
	during()
	Object.defineProperty(WorkerView.prototype, 'id', { get, configurable: true })
	return count
}

/**
 * @returns worker lookups within a second in which the given number of steps waits for an answer
 * that never comes.
 */
function lookupsWhileWaiting(steps: number): number {
	const subject = new LeaderSubject(SLOW_POLICY)
	subject.adviceDelay = () => Number.POSITIVE_INFINITY
	subject.instances = Array.from({ length: steps }, (_, number) => `instance-${number}`)
	for (let number = 0; number < MANY_WORKERS; number++) subject.heartbeat(`w${number}`)
	for (let number = 1; number <= steps; number++) subject.submit(idOf(number), jobOf({}))
	// By then each step has been logged as overdue, which visits all workers once.
	subject.run(500)
	return countLookups(() => subject.run(1000))
}

// Guards against a leader whose cost per waiting step grows with the number of workers: with
// thousands of workers it no longer answered calls in time.
test('a step that waits for its policy does not make each pass visit every worker', () => {
	const [few, many] = [20, 60]
	const more = lookupsWhileWaiting(many) - lookupsWhileWaiting(few)
	const each = more / (many - few) / FULL_PASSES_PER_SECOND
	assert.ok(each <= MAX_LOOKUPS_PER_STEP, `${each} lookups per step and pass`)
})
