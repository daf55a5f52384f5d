/**
 * Guards against a start on a worker that is known to drain: an order without an answer was sent
 * again to it for as long as it drained.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { jobOf } from '../testing/samples'
import { WaitingCell } from '../testing/WaitingCell'

/** The platform's `drainMs`: from then on a draining worker must get no start. */
const DRAIN_MS = 2000

/** @returns when a worker last got an order to start, in milliseconds since it told that it drains. */
function lastStartAfterDraining(changes: readonly number[]): number {
	const cell = new WaitingCell().join(8)
	cell.run(1000)
	for (const id of cell.up) cell.worker(id).startResult = { kind: 'unknown', message: 'no answer' }
	cell.submit(jobOf({}))
	cell.run(60)
	const id = cell.workerOf()
	cell.subject.heartbeat(id, {}, true, 30_000)
	const { starts } = cell.worker(id)
	let [last, sent] = [0, starts.length]
	for (let time = 0; time < 12_000; time += cell.run(20)) {
		if (changes.includes(time)) cell.subject.lead()
		if (starts.length > sent) last = time
		sent = starts.length
	}
	return last
}

for (const changes of [[], [1000], [3000, 6000, 9000]]) {
	test(`an order under way is not sent to a draining worker, leader changes [${changes.join(' ')}]`, () => {
		const last = lastStartAfterDraining(changes)
		assert.ok(last <= DRAIN_MS, `a start ${last} ms after the worker told that it drains`)
	})
}
