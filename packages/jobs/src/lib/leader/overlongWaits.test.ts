/**
 * Waits whose cause never goes away and that end later than the bound, or never, in sum over three
 * changes of leader. See `WaitingCell` for the moments and the bounds.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { isolationCell } from '../testing/IsolationCell'
import { jobOf } from '../testing/samples'
import {
	badStarts,
	findLateEnds,
	isSpreadAtWork,
	loseWorker,
	TASK,
	WaitingCell,
	type Wait,
} from '../testing/WaitingCell'
import { Refusal, type OrderResult } from './ports'

const OTHER = '00000000000000bb'
const GANG = '00000000000000cc'
const WHOLE = { cpu: 4000, memory: 512, accelerators: 0 }
const LATE: OrderResult = { kind: 'refused', reason: Refusal.LeaseExpired }
const UNKNOWN: OrderResult = { kind: 'unknown', message: 'no answer' }

/**
 * A gang that needs four whole workers, each of which has a small run that is always about to
 * end, and a job after it that would fit beside these runs.
 */
function reservedCell(): WaitingCell {
	const cell = new WaitingCell().join(4)
	cell.submit(jobOf({ count: 4, gang: true, mostPerWorker: 1, expectedTime: 3000 }), OTHER)
	for (const id of cell.up) cell.worker(id).progressPerPoll = 20
	cell.run(5000)
	cell.submit(jobOf({ count: 4, gang: true, need: WHOLE }), GANG)
	cell.run(2000)
	cell.submit(jobOf({ need: { ...WHOLE, cpu: 3000 } }))
	return cell
}

/** A cell of workers that report when they started, `age` milliseconds ago. */
function bornCell(age = 1000): WaitingCell {
	const cell = new WaitingCell()
	const born = cell.subject.clock.date().getTime()
	for (const id of ['w1', 'w2', 'w3', 'w4']) cell.worker(id).born = born
	cell.join(4).run(age)
	return cell
}

/** Restarts the worker of the task under its name, and loses it for good. */
function restartedCell(): WaitingCell {
	const cell = bornCell()
	cell.submit(jobOf({}))
	const id = cell.start()
	cell.subject.restart(id)
	cell.end(id)
	return cell
}

/** Orders to the worker of the task are not carried any more, and its run is gone. */
function notCarriedCell(): WaitingCell {
	const cell = new WaitingCell().join(8)
	cell.submit(jobOf({}))
	const id = cell.start(TASK)
	cell.up.delete(id)
	const worker = cell.worker(id)
	worker.notCarried = Number.POSITIVE_INFINITY
	worker.running = []
	return cell
}

const OVERLONG_WAITS: readonly Wait[] = [
	{
		row: 'a reservation',
		cause: 'the runs on the workers of the reserving gang never end',
		begin: reservedCell,
	},
	{
		row: 'an order under way',
		cause: 'one worker of ten refuses each start as late',
		begin: () => badStarts(LATE),
		isOver: isSpreadAtWork,
	},
	{
		row: 'an order under way',
		cause: 'one worker of ten answers polls and no start',
		begin: () => badStarts(UNKNOWN),
		isOver: isSpreadAtWork,
	},
	{
		row: "a worker's fate",
		cause: 'it is gone for good 1.5 s after it joined',
		begin: () => loseWorker({}, bornCell(), 500),
	},
	{
		row: "a worker's fate",
		cause: 'it is gone for good 1.5 s after it joined, under a lasting task',
		begin: () => loseWorker({ lasting: true }, bornCell(), 500),
		lasting: true,
	},
	{
		row: "a worker's fate",
		cause: 'it is gone for good 0.2 s after it joined, under a lasting task',
		begin: () => loseWorker({ lasting: true }, bornCell(200), 0),
		lasting: true,
	},
	...[false, true].map((lasting) => ({
		row: "a worker's fate",
		cause: `it is the second one lost under a task, lasting: ${lasting}`,
		begin: () => isolationCell({ lasting }, 2),
		lasting,
	})),
	{ row: "a worker's fate", cause: 'no carrier reaches it any more', begin: notCarriedCell },
	{
		row: "an earlier life's runs to be gone",
		cause: 'the present life is gone for good as well',
		begin: restartedCell,
	},
]

test('waits for half-broken workers, new workers and overdue reservations end in time', () => {
	assert.deepEqual(
		OVERLONG_WAITS.map(findLateEnds).filter((late) => late !== ''),
		[]
	)
})
