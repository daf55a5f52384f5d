/**
 * Workers that crash and start again under the same id. Guards against tasks that run again
 * although they ended as done, and others that never start although there is capacity.
 *
 * A worker numbers the ends of its runs and its heartbeats from 1 in each incarnation. A leader
 * that keeps the highest number by the worker's id, across incarnations, takes the first ends of
 * the new one for known: it never commits them, waits for their runs, and after the worker has
 * forgotten the ends it abandons the runs as lost and starts them again. The heartbeats count as
 * late too, so the worker gets no work for as long as its earlier incarnation lasted.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { LeaderSubject } from '../testing/LeaderSubject'
import { jobOf } from '../testing/samples'

const BEFORE = '00000000000000aa'
const AFTER = '00000000000000bb'
const WORKER = 'w1'

/** @returns a cell with one worker that has ended four runs and then restarted. */
function restartedCell(): LeaderSubject {
	const subject = new LeaderSubject()
	subject.heartbeat(WORKER)
	subject.worker(WORKER).restart(subject.clock.date().getTime())
	subject.heartbeat(WORKER)
	subject.run(2000, WORKER)
	subject.submit(BEFORE, jobOf({ count: 4 }))
	subject.run(2000, WORKER)
	endAll(subject)
	subject.run(5000, WORKER)
	assert.equal(subject.state.jobs.find(BEFORE)?.state, 'completed')
	subject.restart(WORKER)
	return subject
}

/** Ends all runs of the worker as done. */
function endAll(subject: LeaderSubject): void {
	const worker = subject.worker(WORKER)
	for (const { task } of [...worker.running]) worker.end(task, 'done')
}

test('a task that is done on a restarted worker does not run again', () => {
	const subject = restartedCell()
	subject.submit(AFTER, jobOf({ count: 2 }))
	subject.run(10_000, WORKER)
	endAll(subject)
	const { starts } = subject.worker(WORKER)
	const before = starts.length
	subject.run(10_000, WORKER)
	assert.equal(starts.length, before)
	assert.equal(subject.state.jobs.find(AFTER)?.state, 'completed')
})

test('a step starts after one that was done on a restarted worker', () => {
	const subject = restartedCell()
	subject.worker(WORKER).keepsUnacknowledgedEnds = true
	subject.submit(AFTER, jobOf({ count: 2 }, { dependsOn: [0] }))
	for (let round = 0; round < 6; round++) {
		subject.run(5000, WORKER)
		endAll(subject)
	}
	subject.run(5000, WORKER)
	assert.equal(subject.state.jobs.find(AFTER)?.state, 'completed')
})
