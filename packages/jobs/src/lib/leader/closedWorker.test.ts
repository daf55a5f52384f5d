/**
 * How long work waits for a worker that failed what it started and is sound again, and how much it
 * may start there meanwhile. The bounds are those of the platform: a lasting task is at work again
 * 6 s after its last run, and is in default 3 s after that; others have a run within 14 s and 3 s.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { JobState } from '../records/Job'
import { jobOf } from '../testing/samples'
import { FINISH_MS, ID, LASTING_MS, TASK, WaitingCell } from '../testing/WaitingCell'

const OTHER = '00000000000000bb'
const JOBS = [ID, OTHER]
const TASKS_PER_JOB = 4
/** From the start of a run on the broken worker until it fails. */
const FAILS_AFTER_MS = 150
/** For how long the worker of the review's case fails all that it starts. */
const BROKEN_MS = 6500
const SMALL = { cpu: 100, memory: 64, accelerators: 0 }
const LASTING = { need: SMALL, lasting: true, count: TASKS_PER_JOB }

/** A cell whose first worker alone has the label `b`. */
class BrokenCell extends WaitingCell {
	isBroken = true

	constructor(workers = 12) {
		super()
		this.join(1, 'vake', { labels: ['b'] }).join(workers - 1)
		this.run(1000)
		this.failRuns()
	}

	/** Runs on the first worker fail while it is broken. */
	private failRuns(): void {
		const { clock } = this.subject
		if (this.isBroken) {
			const worker = this.worker('w1')
			for (const { task } of [...worker.running]) worker.end(task, 'failed')
		}
		clock.after(FAILS_AFTER_MS, () => this.failRuns())
	}

	get startCount(): number {
		return this.worker('w1').starts.length
	}

	get lines(): string {
		return this.subject.logLines.join('\n')
	}

	areAtWork(): boolean {
		return JOBS.every((id) => this.isAtWork(id, TASKS_PER_JOB))
	}

	submitBoth(step: Partial<typeof LASTING> & { requires?: string }): void {
		for (const id of JOBS) this.submit(jobOf(step), id)
	}
}

// Guards against a worker that is shut out for minutes after it has failed for seconds: each failure of
// runs side by side doubled the time, and a lasting task has no success to show (review/4, LOST).
for (const broken of [300, 2000, BROKEN_MS, 20_000, 60_000]) {
	test(`lasting tasks that only one worker may run are at work soon after it is sound, ${broken} ms`, () => {
		const cell = new BrokenCell()
		cell.submitBoth({ ...LASTING, requires: 'b' })
		cell.run(broken)
		cell.isBroken = false
		const took = cell.run(60_000, () => cell.areAtWork())
		assert.ok(took <= LASTING_MS, `${took} ms without a run`)
	})
}

// Guards against a failure of one lasting task that closes its worker for all, long after it has
// passed its probes.
test('a worker that runs lasting tasks only passes its probes', () => {
	const cell = new BrokenCell()
	cell.submitBoth({ ...LASTING, requires: 'b' })
	cell.run(BROKEN_MS)
	cell.isBroken = false
	cell.run(LASTING_MS, () => cell.areAtWork())
	cell.run(5000)
	assert.match(cell.lines, /"worker-reopened"/)
	cell.worker('w1').end(TASK, 'failed')
	assert.ok(cell.run(LASTING_MS, () => !cell.isAtWork()) < LASTING_MS)
	const took = cell.run(LASTING_MS, () => cell.areAtWork())
	assert.ok(took <= 1000, `${took} ms without a run`)
})

// Guards against a loss of what closing is for: a broken worker looks idle, and attracts all work.
test('a worker that fails all gets a probe every 3 s at most, if only it may run lasting tasks', () => {
	const cell = new BrokenCell()
	cell.submitBoth({ ...LASTING, requires: 'b' })
	cell.run(2000)
	const before = cell.startCount
	cell.run(60_000)
	assert.ok(cell.startCount - before <= 20, `${cell.startCount - before} starts in 60 s`)
})

test('a worker that fails all gets a probe at growing intervals, if others may run the work', () => {
	const cell = new BrokenCell()
	cell.submitBoth(LASTING)
	cell.run(2000)
	const spread = cell.startCount
	let count = 0
	const { clock } = cell.subject
	const submit = (): void => {
		for (const id of cell.up) {
			const worker = cell.worker(id)
			for (const { task } of [...worker.running])
				if (id !== 'w1' && !JOBS.includes(task.slice(0, 16))) worker.end(task, 'done')
		}
		const id = `0000000000c${(count++).toString(16).padStart(5, '0')}`
		cell.subject.submit(id, jobOf({ need: SMALL, count: 12, mostPerWorker: 1 }))
		clock.after(300, submit)
	}
	submit()
	cell.run(60_000)
	assert.ok(cell.startCount - spread <= 15, `${cell.startCount - spread} starts in 60 s`)
})

// Guards against a job that fails because its task was tried again and again on a broken worker.
test('a task that only a broken worker may run has attempts left once that is sound again', () => {
	const cell = new BrokenCell()
	cell.submitBoth({ ...LASTING, requires: 'b' })
	cell.run(2000)
	const late = '00000000000000dd'
	cell.submit(jobOf({ need: SMALL, requires: 'b' }), late)
	cell.run(BROKEN_MS)
	cell.isBroken = false
	const took = cell.run(60_000, () => cell.isAtWork(late))
	assert.ok(took <= FINISH_MS, `${took} ms without a run`)
	assert.equal(cell.subject.state.jobs.find(late)?.state, JobState.Running)
})

test('a gang that needs a closed worker runs soon after that is sound', () => {
	const cell = new BrokenCell()
	cell.submitBoth({ ...LASTING, requires: 'b' })
	cell.run(2000)
	const gang = '00000000000000dd'
	cell.submit(jobOf({ need: SMALL, requires: 'b', gang: true, count: 3 }), gang)
	cell.run(BROKEN_MS)
	cell.isBroken = false
	const took = cell.run(60_000, () => cell.isAtWork(gang, 3))
	assert.ok(took <= FINISH_MS, `${took} ms without a run`)
})
