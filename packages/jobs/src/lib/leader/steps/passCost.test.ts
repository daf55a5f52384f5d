/** What a pass over the waiting steps looks at, in a cell that is full while many steps wait. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { Ledger, LedgerWorker } from '@rillrudder/scheduler'
import { LeaderSubject } from '../../testing/LeaderSubject'
import { jobOf } from '../../testing/samples'

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
