/**
 * Guards against a task that crashes each worker that starts it and is started again without bound:
 * such a task took half of a cell's workers down (34 starts, 194 where its step allowed copies),
 * while they were away for seconds after each crash. A crashed worker reports no end, so the run
 * ends as `lost`, and a count of runs that ended as failed does not bound the attempts. A count of
 * known crashes alone comes too late for copies: the next copy starts 0.3 s after the worker stops
 * answering, 3 s before the crash is known.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { LeaderSubject } from '../testing/LeaderSubject'
import { jobOf } from '../testing/samples'

const POISON = '00000000000000aa'
const INNOCENT = '00000000000000bb'
/** Number of workers that a task may crash. */
const MAX_CRASHED = 3
/** Milliseconds until a crashed worker is back. */
const RESTART_DELAY_MS = 3000
const TICK_MS = 20

/** A cell in which each worker that runs a task of the poison job crashes at once. */
class CrashingCell {
	readonly subject = new LeaderSubject()
	crashed = 0
	private incarnations = 0
	private readonly alive = new Map<string, string>()

	constructor(workers: number) {
		for (let number = 0; number < workers; number++) this.startWorker(`host-${number}:80`)
	}

	/**
	 * Advances the clock by `span` milliseconds, with a change of leader every `leaderPeriod`
	 * milliseconds.
	 */
	run(span: number, leaderPeriod = Number.POSITIVE_INFINITY): void {
		for (let spent = 0; spent < span; spent += TICK_MS) {
			this.subject.run(TICK_MS)
			if (spent % 1000 === 0) for (const id of this.alive.keys()) this.subject.heartbeat(id)
			if (spent % leaderPeriod === leaderPeriod - TICK_MS) this.subject.lead()
			for (const id of [...this.alive.keys()]) if (this.runsPoison(id)) this.crash(id)
		}
	}

	private runsPoison(id: string): boolean {
		return this.subject.worker(id).running.some(({ task }) => task.startsWith(POISON))
	}

	private crash(id: string): void {
		const { subject } = this
		const address = this.alive.get(id)!
		const worker = subject.worker(id)
		this.crashed += 1
		this.alive.delete(id)
		worker.isUnresponsive = true
		worker.running = []
		subject.clock.after(RESTART_DELAY_MS, () => {
			worker.isUnresponsive = false
			worker.replaced = true
			worker.startResult = { kind: 'other-incarnation' }
			this.startWorker(address)
		})
	}

	private startWorker(address: string): void {
		const id = `w${++this.incarnations}`
		this.alive.set(id, address)
		this.subject.heartbeat(id, { address })
	}
}

function stateOf({ subject }: CrashingCell, id: string): string | undefined {
	return subject.state.jobs.find(id)?.state
}

test('a task that crashes its workers is abandoned, and its job has failed', () => {
	const cell = new CrashingCell(6)
	cell.subject.submit(POISON, jobOf({}))
	cell.run(60_000)
	assert.ok(cell.crashed <= MAX_CRASHED, `${cell.crashed} workers crashed`)
	assert.equal(stateOf(cell, POISON), 'failed')
})

test('copies of a task that crashes its workers do not start one after another before a crash is known', () => {
	const cell = new CrashingCell(12)
	cell.subject.submit(POISON, jobOf({ copies: true }))
	cell.run(60_000)
	assert.ok(cell.crashed <= MAX_CRASHED, `${cell.crashed} workers crashed`)
	assert.equal(stateOf(cell, POISON), 'failed')
})

test('the crashes of a task are remembered across changes of leader, and other jobs continue', () => {
	const cell = new CrashingCell(6)
	cell.subject.submit(INNOCENT, jobOf({ count: 12, expectedTime: 60_000 }))
	cell.subject.submit(POISON, jobOf({}))
	cell.run(90_000, 4000)
	// A leader may have missed a crash, but three starts after the third crash are one too many.
	assert.ok(cell.crashed <= MAX_CRASHED + 2, `${cell.crashed} workers crashed`)
	assert.equal(stateOf(cell, POISON), 'failed')
	assert.equal(stateOf(cell, INNOCENT), 'running')
	const place = cell.subject.state.jobs.find(INNOCENT)!.repeats[0][0]
	assert.ok(place.tasks.every((task) => task.worker !== ''))
})

// Guards against a crash that is not counted because a poll result from before it, which arrived
// after the run was abandoned, was taken as proof that the worker answers.
test('a poll result from before a crash that arrives after the runs were abandoned does not clear their tasks', () => {
	const subject = new LeaderSubject()
	const worker = subject.worker('w1')
	subject.heartbeat('w1')
	subject.submit(POISON, jobOf({ copies: true }))
	worker.answerDelay = 1500
	subject.run(1100, 'w1')
	worker.isUnresponsive = true
	subject.submit(INNOCENT, jobOf({}))
	subject.run(800)
	const { task } = subject.state.jobs.locate(`${POISON}.0.0.0`)!
	assert.equal(task.silent?.length, 1, 'its run was abandoned')
	subject.run(1200)
	worker.isUnresponsive = false
	worker.replaced = true
	subject.run(1000)
	assert.deepEqual(
		task.crashed?.map((lost) => lost.worker),
		['w1']
	)
})
