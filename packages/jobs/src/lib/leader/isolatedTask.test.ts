/**
 * How long an isolated task waits while workers have capacity. The bounds are those of the
 * platform: a task whose turn has come has a run 14 s after the last event, and is in default 3 s
 * after that; a lasting task 6 s after its last run, and 3 s.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { Step } from '../records/Job'
import { Refusal, type OrderResult } from './ports'
import { CrashEvidence, suspicionOf, Suspicion, type LostWorker } from '../state/TaskCrashes'
import { IsolationCell, SMALL_NEED } from '../testing/IsolationCell'
import { jobOf, QUEUE } from '../testing/samples'
import { FINISH_MS, ID, LASTING_MS, TASK } from '../testing/WaitingCell'

const BEAT_MS = 1000
/** The first task of the second step of the job. */
const LATER_TASK = `${ID}.0.1.0`
const OTHERS = [1, 2, 3, 4].map((number) => `00000000000000c${number}`)
/** Runs of others that outlast each test. */
const LONG_STEP: Partial<Step> = { need: SMALL_NEED, expectedTime: 600_000 }
const STRONG: LostWorker = { worker: 'lost-1', evidence: CrashEvidence.Strong }
const DOUBTFUL: LostWorker = { worker: 'lost-2', evidence: CrashEvidence.Doubtful }
const LATE: OrderResult = { kind: 'refused', reason: Refusal.LeaseExpired }
/** Half of what an isolated task waits before a worker is cordoned for it. */
const MIN_WAIT_MS = 500
/** Reasons are set in full passes. */
const FULL_PASS_PERIOD_MS = 100
const BOUNDS = [
	{ lasting: false, bound: FINISH_MS },
	{ lasting: true, bound: LASTING_MS },
]

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
for (const { lasting, bound } of BOUNDS) {
	test(`an isolated task starts beside settled runs that are suspected, lasting: ${lasting}`, () => {
		const cell = cellOfIsolatedRuns()
		cell.subject.submit(ID, jobOf({ need: SMALL_NEED, lasting }))
		cell.loseDuringStartup(TASK)
		const took = cell.run(200_000, () => cell.isRunning(TASK))
		assert.equal(suspicionOf(cell.recordOf(TASK)), Suspicion.Isolated)
		assert.ok(took <= bound, `${took} ms without a run`)
	})
}

// Guards against a wait for as long as every worker starts something twice a second: nothing made the
// moment come at which all runs of others on a worker had settled (review/6, LOST).
for (const { lasting, bound } of BOUNDS) {
	test(`an isolated task starts while others start on every worker, lasting: ${lasting}`, () => {
		const cell = new IsolationCell(8)
		cell.startTraffic()
		cell.subject.submit(ID, jobOf({ need: SMALL_NEED, lasting }))
		cell.loseDuringStartup(TASK)
		const took = cell.run(60_000, () => cell.isRunning(TASK))
		assert.equal(suspicionOf(cell.recordOf(TASK)), Suspicion.Isolated)
		assert.ok(took <= bound, `${took} ms without a run`)
	})
}

// Guards against a promise that holds for the first loss only: a held task becomes isolated 7 s after
// its last worker became unreachable, which leaves 2 s of the promise.
test('a held task starts in time while others start on every worker', () => {
	const cell = new IsolationCell(8)
	cell.startTraffic()
	cell.subject.submit(ID, jobOf({ need: SMALL_NEED, lasting: true }))
	cell.loseDuringStartup(TASK)
	cell.run(60_000, () => cell.isRunning(TASK))
	cell.loseDuringStartup(TASK)
	const took = cell.run(60_000, () => cell.isRunning(TASK))
	assert.ok(took <= LASTING_MS, `${took} ms without a run`)
})

// Guards against a cordon that keeps more from starting than the isolated task needs.
test('a cordon keeps others off one worker, and ends with the wait', () => {
	const cell = new IsolationCell(8)
	cell.startTraffic()
	cell.submitWithCrashes({ need: SMALL_NEED }, [STRONG])
	cell.run(3 * BEAT_MS, () => cell.cordons.length > 0)
	const idle = new Set<string>()
	const noteIdle = (): boolean => {
		for (const id of cell.up) if (cell.worker(id).running.length === 0) idle.add(id)
		return cell.isRunning(LATER_TASK)
	}
	cell.run(FINISH_MS, noteIdle)
	const worker = cell.recordOf(LATER_TASK).worker
	assert.deepEqual([...idle], [worker])
	const before = cell.worker(worker).starts.length
	cell.run(2 * BEAT_MS)
	assert.ok(cell.worker(worker).starts.length > before, 'others start there again')
})

// Guards against a worker that stays closed for a task that needs it no more.
test('the cordon of a cancelled job ends', () => {
	const cell = new IsolationCell(2)
	cell.startTraffic()
	cell.submitWithCrashes({ need: SMALL_NEED }, [STRONG])
	cell.run(3 * BEAT_MS, () => cell.cordons.length > 0)
	cell.subject.call({ kind: 'cancel', to: { queue: QUEUE.name, id: ID } })
	const [worker] = cell.cordons
	const before = cell.worker(worker).starts.length
	cell.run(2 * BEAT_MS)
	assert.ok(cell.worker(worker).starts.length > before, 'others start there again')
})

// Guards against a wait for a worker that never settles: one that answers and confirms no start.
test('no worker with an overdue start is cordoned while another one has none', () => {
	const cell = new IsolationCell(2)
	cell.subject.submit(OTHERS[0], jobOf({ ...LONG_STEP, requires: 'w2' }))
	cell.run(BEAT_MS)
	cell.startTraffic(['w2'])
	cell.submitWithCrashes({ need: SMALL_NEED }, [STRONG])
	cell.worker('w1').startResult = LATE
	cell.subject.submit(OTHERS[1], jobOf({ need: SMALL_NEED, requires: 'w1' }))
	const took = cell.run(60_000, () => cell.isRunning(LATER_TASK))
	assert.equal(cell.recordOf(LATER_TASK).worker, 'w2')
	assert.ok(took <= LASTING_MS, `${took} ms without a run`)
})

// Guards against losing one more worker than needed: a suspected run may crash its worker late.
test('an isolated task starts where no run is suspected if it can, even if more work is at risk', () => {
	const cell = new IsolationCell(2)
	const [suspected, ...settled] = OTHERS
	for (const id of settled) cell.subject.submit(id, jobOf({ ...LONG_STEP, requires: 'w1' }))
	cell.subject.submit(suspected, jobOf({ ...LONG_STEP, requires: 'w2' }))
	cell.recordOf(`${suspected}.0.0.0`).crashed = [STRONG]
	cell.run(3000)
	cell.submitWithCrashes({ need: SMALL_NEED }, [STRONG])
	cell.run(3000, () => cell.isRunning(LATER_TASK))
	assert.equal(cell.recordOf(LATER_TASK).worker, 'w1')
})

// Guards against a task that waits for a worker that it does not need: placement ended at the first
// task of the step that no worker admitted, and an isolated one came before those under less doubt.
test('a suspected task does not wait behind an isolated task of its step that no worker admits', () => {
	const cell = new IsolationCell(2)
	cell.startTraffic()
	cell.submitWithCrashes({ need: SMALL_NEED }, [STRONG, DOUBTFUL])
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
	cell.submitWithCrashes({ need: SMALL_NEED }, [STRONG])
	cell.run(BEAT_MS)
	assert.equal(cell.isRunning(LATER_TASK), false, 'the isolated task waits')
	assert.match(cell.explain(), /^its tasks are isolated/)
	const waited = Number(/ for (\d+) ms/.exec(cell.explain())?.[1])
	assert.ok(waited > MIN_WAIT_MS, `${waited} ms`)
	cell.subject.call({ kind: 'cancel', to: { queue: QUEUE.name, id: ID } })
	cell.run(BEAT_MS)
	const dropped = cell.subject.logLines.find((line) => line.includes('step-dropped'))
	const counted = /"waits":"isolated:(\d+)"/.exec(dropped ?? '')?.[1]
	assert.ok(Number(counted) > waited - FULL_PASS_PERIOD_MS, `${counted} of ${waited} ms counted`)
})

// Guards against naming isolation where a step has tasks that it does not keep waiting.
test('a step without capacity for its isolated tasks is not said to wait for isolation', () => {
	const cell = new IsolationCell(2)
	cell.startTraffic()
	cell.submitWithCrashes({ need: { ...SMALL_NEED, cpu: 4000 } }, [STRONG])
	cell.run(BEAT_MS)
	assert.match(cell.explain(), /has room for one task/)
})
