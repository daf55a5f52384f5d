/**
 * Workers that are lost for good: they never answer again, and no other incarnation comes to their
 * address. Guards against a task that waits for the fate of such a worker: it waited for 60 s, anew
 * under each leader.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { ClientAccount } from '../accounts/ClientAccount'
import type { Step } from '../records/Job'
import type { TaskRecord } from '../state/JobRecord'
import { Suspicion, suspicionOf } from '../state/TaskCrashes'
import { accountNamed, jobOf, QUEUE } from '../testing/samples'
import { FINISH_MS, ID, LASTING_MS, TASK, WaitingCell } from '../testing/WaitingCell'

const OTHER_JOB = '00000000000000bb'
const ACCOUNT = 'town'
/** From its start until the worker of a run is lost. */
const SHORT_RUN_MS = 140

/** A cell of ten workers with a job. */
class CellWithJob extends WaitingCell {
	/** @param quota - the quota of the account of the job; no accounts if absent. */
	constructor(step: Partial<Step> = {}, quota?: ClientAccount['quota']) {
		super()
		if (quota) {
			this.subject.accounts = [accountNamed(ACCOUNT, { quota })]
			this.subject.configure({ maxAttempts: 4 })
		}
		this.join(10).run(1000)
		this.submitAs(ID, step)
	}

	submitAs(job: string, step: Partial<Step>): void {
		this.subject.submit(job, jobOf(step), QUEUE.name, ACCOUNT.toUpperCase())
	}

	record(task = TASK): TaskRecord {
		return this.subject.state.jobs.locate(task)!.task
	}

	get suspicion(): Suspicion {
		return suspicionOf(this.record())
	}

	isRunning(task = TASK): boolean {
		return this.runnerOf(task) !== undefined
	}

	/** Loses the worker of a task just after the run started there. */
	loseAtStart(task = TASK): void {
		this.run(FINISH_MS, () => this.isRunning(task))
		this.run(SHORT_RUN_MS)
		this.end(this.workerOf(task))
	}

	/** Loses the next worker that is ordered to start a task, before the order reaches it. */
	loseBeforeStart(task = TASK): void {
		const { attempt } = this.record(task)
		this.answerStarts(false)
		this.run(FINISH_MS, () => this.record(task).attempt > attempt)
		this.answerStarts(true)
		this.end(this.workerOf(task))
	}

	private answerStarts(isAnswered: boolean): void {
		const lost = { kind: 'unknown', message: 'no answer' } as const
		for (const id of this.up) this.worker(id).startResult = isAnswered ? undefined : lost
	}
}

/** Checks how long a task stays without a run. */
function assertStarts(cell: CellWithJob, bound: number, task = TASK): void {
	const took = cell.run(bound, () => cell.isRunning(task))
	assert.ok(took < bound, `${task} has no run after ${took} ms, it is ${cell.suspicion}`)
}

for (const changes of [0, 1, 2, 3]) {
	test(`a task that has lost two workers for good starts again in time under ${changes} new leaders`, () => {
		const cell = new CellWithJob()
		cell.loseAtStart()
		cell.loseBeforeStart()
		for (let change = 0; change < changes; change++) {
			cell.run(FINISH_MS / 4, () => cell.isRunning())
			cell.subject.lead()
		}
		assertStarts(cell, FINISH_MS - (changes * FINISH_MS) / 4)
	})
}

test('a gang of which one member has lost two workers for good starts again in time', () => {
	const cell = new CellWithJob({ gang: true, count: 3, mostPerWorker: 1 })
	const [first, second, member] = [0, 1, 2].map((index) => `${ID}.0.0.${index}`)
	for (const attempt of [1, 2]) {
		cell.run(FINISH_MS, () => cell.record(member).attempt === attempt && cell.isRunning(member))
		cell.run(SHORT_RUN_MS)
		cell.end(cell.workerOf(member))
		for (const other of [first, second]) {
			cell.worker(cell.workerOf(other)).end(other, 'broken')
		}
	}
	cell.run(500)
	assertStarts(cell, FINISH_MS, first)
})

test('a long-running task that has lost two workers for good is at work again in time', () => {
	const cell = new CellWithJob({ lasting: true })
	cell.loseAtStart()
	cell.loseAtStart()
	assertStarts(cell, LASTING_MS)
})

test('the job of a task that has lost three workers for good just after its start fails in time', () => {
	const cell = new CellWithJob()
	for (let lost = 0; lost < 3; lost++) cell.loseAtStart()
	const bound = FINISH_MS - cell.run(FINISH_MS, () => cell.record().silent?.length === 1)
	cell.subject.lead()
	cell.run(bound, () => cell.suspicion === Suspicion.Proven)
	assert.equal(cell.subject.state.jobs.find(ID)?.state, 'failed')
})

// Guards against a quota that runs abandoned long ago fill again for a whole lease under each leader.
test('an abandoned run whose lease is long over does not fill the quota under new leaders', () => {
	const cell = new CellWithJob({}, { cpu: 1000 })
	cell.loseAtStart()
	cell.run(FINISH_MS)
	cell.subject.lead()
	cell.run(500)
	cell.worker(cell.workerOf()).end(TASK, 'done')
	cell.run(500)
	cell.submitAs(OTHER_JOB, {})
	const other = `${OTHER_JOB}.0.0.0`
	for (let took = 0; took < FINISH_MS; took += 3000) {
		cell.subject.lead()
		cell.run(3000, () => cell.isRunning(other))
	}
	assert.equal(cell.isRunning(other), true)
})

// Guards against a held task that is logged as overlooked twice a second, and whose wait is not.
test('a held task is logged as a long wait and not as overlooked', () => {
	const cell = new CellWithJob({ lasting: true })
	cell.loseAtStart()
	cell.loseAtStart()
	cell.run(LASTING_MS, () => cell.suspicion === Suspicion.Held)
	cell.run(1000)
	const { controller, logLines } = cell.subject
	controller.measure()
	assert.equal(logLines.filter((line) => line.includes('work-missed')).length, 0)
	const [wait] = logLines.filter((line) => line.includes('step-waits-long'))
	assert.match(wait ?? '', /whether they crashed is awaited/)
})

// Guards against a job that fails because of workers that were cut off and ran on.
test('a worker that counts as crashed and answers again is no longer counted', () => {
	const cell = new CellWithJob()
	cell.loseAtStart()
	const worker = cell.workerOf()
	cell.run(FINISH_MS)
	assert.deepEqual(
		cell.record().silent?.map((lost) => lost.presumedCrashed),
		[true]
	)
	cell.worker(worker).isUnresponsive = false
	cell.run(1000)
	assert.equal(cell.record().silent, undefined)
	assert.equal(cell.suspicion, Suspicion.None)
})

// Guards against a long-running task that fails because of losses long before.
test('a worker that counts as crashed is dropped once the long-running task has been at work for long', () => {
	const cell = new CellWithJob({ lasting: true })
	cell.loseAtStart()
	cell.run(30_000)
	assert.deepEqual([cell.record().silent, cell.record().crashed], [undefined, undefined])
	assert.equal(cell.isRunning(), true)
})
