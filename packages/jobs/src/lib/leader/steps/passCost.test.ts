/** What a pass over the waiting steps looks at, in a cell that is full while many steps wait. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { Ledger, LedgerWorker } from '@rillrudder/scheduler'
import { LeaderSubject } from '../../testing/LeaderSubject'
import { jobOf } from '../../testing/samples'
import { WorkerView } from '../workers/WorkerView'

const WORKERS = Array.from({ length: 40 }, (_, number) => `w${number}`)
const WAITING = 60
const WHOLE_WORKER = { need: { cpu: 4000, memory: 512, accelerators: 0 } }
const TICK = 20
/** A full pass is due every fifth tick, so of a few ends one comes between two of them. */
const MOST_ENDS = 5
/** Looks at the room of one worker that a pass may take for itself, and for each step that it tries there. */
const LOOKS_EACH = 4

function idOf(number: number): string {
	return number.toString(16).padStart(16, '0')
}

/** Counts how often the free room of any worker is read. */
class RoomReads {
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

/** A cell in which every worker is full and as many steps wait. */
function fullCell(): LeaderSubject {
	const subject = new LeaderSubject()
	for (const id of WORKERS) subject.heartbeat(id)
	const jobs = WORKERS.length + WAITING
	for (let number = 1; number <= jobs; number++) subject.submit(idOf(number), jobOf(WHOLE_WORKER))
	subject.run(1000, ...WORKERS)
	return subject
}

/** Ends a run, and lets time pass until its room is used. @returns how often rooms were read in that tick, and whether its pass was a full one. */
function readsOfNextStart(subject: LeaderSubject, reads: RoomReads, ended: number): number {
	const worker = WORKERS[ended]
	subject.worker(worker).end(subject.worker(worker).running[0].task, 'done')
	const before = subject.startCount
	while (subject.startCount === before) {
		reads.count = 0
		subject.run(TICK)
	}
	return reads.count
}

// Guards against a leader that spends its time on steps that can't begin: each end of a run had it look at every worker for every waiting step.
test('where one worker comes free, waiting steps are tried there and nowhere else', () => {
	const subject = fullCell()
	const reads = new RoomReads(subject.ledger)
	const counts = Array.from({ length: MOST_ENDS }, (_, ended) =>
		readsOfNextStart(subject, reads, ended)
	)
	const least = Math.min(...counts)
	const most = (WAITING + WORKERS.length) * LOOKS_EACH
	assert.ok(least <= most, `${counts.join()} looks, ${most} at most`)
})

const MANY_WORKERS = 600
const FULL_PASSES_A_SECOND = 10
/** Looks at workers that a step may cost a full pass while it waits for its policy's answer; the questions name few. */
const MOST_LOOKS_A_STEP = 20
const SLOW_POLICY = { advice: { base: 2000, each: 0.3, valid: 10_000 } }

/** Counts how often any worker is looked at: what is known of a worker is found by its id. */
function countLooks(during: () => void): number {
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

/** @returns looks at workers in a second in which so many steps wait for an answer that does not come. */
function looksWhileWaiting(steps: number): number {
	const subject = new LeaderSubject(SLOW_POLICY)
	subject.adviceDelay = () => Number.POSITIVE_INFINITY
	subject.instances = Array.from({ length: steps }, (_, number) => `instance-${number}`)
	for (let number = 0; number < MANY_WORKERS; number++) subject.heartbeat(`w${number}`)
	for (let number = 1; number <= steps; number++) subject.submit(idOf(number), jobOf({}))
	// By then each of them has been told of as overdue, which costs a look at all workers once.
	subject.run(500)
	return countLooks(() => subject.run(1000))
}

// Guards against a leader whose work for each waiting step grows with the workers: with thousands of them it answered no call in time any more.
test('a step that waits for the answer of its policy costs a pass no look at every worker', () => {
	const [few, many] = [20, 60]
	const more = looksWhileWaiting(many) - looksWhileWaiting(few)
	const each = more / (many - few) / FULL_PASSES_A_SECOND
	assert.ok(each <= MOST_LOOKS_A_STEP, `${each} looks a step and pass`)
})
