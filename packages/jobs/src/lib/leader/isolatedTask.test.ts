/**
 * How long an isolated task waits while workers have capacity. The bounds are those of the
 * platform: a task whose turn has come has a run 14 s after the last event, and is in default 3 s
 * after that; a lasting task 6 s after its last run, and 3 s.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { Step } from '../records/Job'
import type { TaskRecord } from '../state/JobRecord'
import { CrashEvidence, suspicionOf, Suspicion, type LostWorker } from '../state/TaskCrashes'
import { jobOf, QUEUE } from '../testing/samples'
import { FINISH_MS, ID, LASTING_MS, TASK, WaitingCell } from '../testing/WaitingCell'

const BEAT_MS = 1000
/** From the start of a run until its worker is lost: well before it counts as settled. */
const STARTUP_MS = 140

/** The first task of the second step of the job. */
const LATER_TASK = `${ID}.0.1.0`
const OTHERS = [1, 2, 3, 4].map((number) => `00000000000000c${number}`)
const NEED = { cpu: 100, memory: 64, accelerators: 0 }
/** Runs of others that outlast each test. */
const LONG_STEP: Partial<Step> = { need: NEED, expectedTime: 600_000 }
const STRONG: LostWorker = { worker: 'lost-1', evidence: CrashEvidence.Strong }
const DOUBTFUL: LostWorker = { worker: 'lost-2', evidence: CrashEvidence.Doubtful }
/** Less than it takes a run to count as settled. */
const TRAFFIC_PERIOD_MS = 200

/** A cell whose workers have their names as labels. */
class IsolationCell extends WaitingCell {
	constructor(workers: number) {
		super()
		for (let number = 1; number <= workers; number++) {
			this.join(1, 'vake', { labels: [`w${number}`] })
			// No run ends or counts as stalled meanwhile.
			this.worker(`w${number}`).progressPerPoll = 0.1
		}
		this.run(BEAT_MS)
	}

	recordOf(task: string): TaskRecord {
		return this.subject.state.jobs.locate(task)!.task
	}

	isRunning(task: string): boolean {
		return this.runnerOf(task) !== undefined
	}

	isOn(worker: string, task: string): boolean {
		return this.subject.worker(worker).running.some((run) => run.task === task)
	}

	/** Runs until tasks have started, and loses their workers before they have settled. */
	loseDuringStartup(...tasks: string[]): void {
		this.run(5000, () => tasks.every((task) => this.isRunning(task)))
		this.run(STARTUP_MS)
		for (const task of tasks) this.end(this.workerOf(task))
	}

	/** Submits a job with a step of which each task has lost a worker, and lets this step begin. */
	submitWithCrashes(step: Partial<Step>, crashes: readonly LostWorker[]): void {
		const second = { ...step, count: crashes.length, dependsOn: [0] }
		this.subject.submit(ID, jobOf({ need: NEED }, second))
		this.run(5000, () => this.isRunning(TASK))
		crashes.forEach((lost, index) => {
			this.recordOf(`${ID}.0.1.${index}`).crashed = [lost]
		})
		this.subject.worker(this.recordOf(TASK).worker).end(TASK, 'done')
	}

	/**
	 * Starts a short run of another job on each worker every {@link TRAFFIC_PERIOD_MS}, so that no
	 * worker admits an isolated task.
	 */
	startTraffic(): void {
		let count = 0
		const start = (): void => {
			for (const id of this.up) {
				const worker = this.subject.worker(id)
				for (const { task } of worker.running) if (!task.startsWith(ID)) worker.end(task, 'done')
				const job = `000000000001${(count++).toString(16).padStart(4, '0')}`
				this.subject.submit(job, jobOf({ need: NEED, requires: id }))
			}
			this.subject.clock.after(TRAFFIC_PERIOD_MS, start)
		}
		start()
	}

	/** @returns what the job's caller is told about the wait of its second step. */
	explain(): string {
		const reply = this.subject.call({ kind: 'explain-job', id: ID })
		return reply?.kind === 'explanation' ? reply.explanation.steps[1].reason : ''
	}
}

/** A cell in which each worker that is left has a settled run of another job that is isolated. */
function cellOfIsolatedRuns(): IsolationCell {
	const cell = new IsolationCell(OTHERS.length + 1)
	for (const id of OTHERS) cell.subject.submit(id, jobOf(LONG_STEP))
	const tasks = OTHERS.map((id) => `${id}.0.0.0`)
	cell.loseDuringStartup(...tasks)
	cell.run(30_000, () => tasks.every((task) => cell.isRunning(task)))
	cell.run(3000)
	for (const id of cell.up) {
		const isolated = tasks.filter((task) => cell.isOn(id, task))
		assert.ok(isolated.length > 0, `${id} runs an isolated task`)
		for (const task of isolated) {
			assert.equal(suspicionOf(cell.recordOf(task)), Suspicion.Isolated)
		}
	}
	return cell
}

// Guards against a wait for as long as suspected runs of others last: no worker admitted an isolated
// task beside one, however long that one had been at work.
for (const { lasting, bound } of [
	{ lasting: false, bound: FINISH_MS },
	{ lasting: true, bound: LASTING_MS },
]) {
	test(`an isolated task starts beside settled runs that are suspected, lasting: ${lasting}`, () => {
		const cell = cellOfIsolatedRuns()
		cell.subject.submit(ID, jobOf({ need: NEED, lasting }))
		cell.loseDuringStartup(TASK)
		const took = cell.run(200_000, () => cell.isRunning(TASK))
		assert.equal(suspicionOf(cell.recordOf(TASK)), Suspicion.Isolated)
		assert.ok(took <= bound, `${took} ms without a run`)
	})
}

// Guards against losing one more worker than needed: a suspected run may crash its worker late.
test('an isolated task starts where no run is suspected if it can, even if more work is at risk', () => {
	const cell = new IsolationCell(2)
	const [suspected, ...settled] = OTHERS
	for (const id of settled) cell.subject.submit(id, jobOf({ ...LONG_STEP, requires: 'w1' }))
	cell.subject.submit(suspected, jobOf({ ...LONG_STEP, requires: 'w2' }))
	cell.recordOf(`${suspected}.0.0.0`).crashed = [STRONG]
	cell.run(3000)
	cell.submitWithCrashes({ need: NEED }, [STRONG])
	cell.run(3000, () => cell.isRunning(LATER_TASK))
	assert.equal(cell.recordOf(LATER_TASK).worker, 'w1')
})

// Guards against a task that waits for a worker that it does not need: placement ended at the first
// task of the step that no worker admitted, and an isolated one came before those under less doubt.
test('a suspected task does not wait behind an isolated task of its step that no worker admits', () => {
	const cell = new IsolationCell(2)
	cell.startTraffic()
	cell.submitWithCrashes({ need: NEED }, [STRONG, DOUBTFUL])
	const sibling = `${ID}.0.1.1`
	const took = cell.run(60_000, () => cell.isRunning(sibling))
	assert.equal(cell.isRunning(LATER_TASK), false, 'the isolated task waits')
	assert.equal(suspicionOf(cell.recordOf(sibling)), Suspicion.Suspected)
	assert.ok(took <= FINISH_MS, `${took} ms without a run`)
})

// Guards against a long wait that is explained as being about to end, and that is counted as one for
// reserved capacity: no reason named the isolation of tasks.
test('a step whose tasks wait for isolation says so', () => {
	const cell = new IsolationCell(2)
	cell.startTraffic()
	cell.submitWithCrashes({ need: NEED }, [STRONG])
	cell.run(FINISH_MS)
	assert.equal(cell.isRunning(LATER_TASK), false, 'the isolated task waits')
	assert.match(cell.explain(), /^its tasks are isolated/)
	cell.subject.call({ kind: 'cancel', to: { queue: QUEUE.name, id: ID } })
	cell.run(BEAT_MS)
	const dropped = cell.subject.logLines.find((line) => line.includes('step-dropped'))
	assert.match(dropped ?? '', /"waits":"isolated:\d{5}"/)
})

// Guards against naming isolation where a step has tasks that it does not keep waiting.
test('a step without capacity for its isolated tasks is not said to wait for isolation', () => {
	const cell = new IsolationCell(2)
	cell.startTraffic()
	cell.submitWithCrashes({ need: { ...NEED, cpu: 4000 } }, [STRONG])
	cell.run(BEAT_MS)
	assert.match(cell.explain(), /has room for one task/)
})
