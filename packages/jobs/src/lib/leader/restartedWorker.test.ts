/**
 * Workers that crash and start again under the id that they had. A cell whose workers did so, a third of them every twelve
 * seconds, ran tasks again that had ended as done, and never began others for which there was room.
 *
 * A worker numbers the ends of its runs from 1 in each life, and the leader kept the highest number that it had taken by the
 * worker's id. So the first ends of the new life counted as taken: they were never committed, and once they were noted
 * their runs were in no list any more, were given up as lost and began again; until then the leader waited for them. The log proved
 * it: no end of such a worker for seven seconds, then three runs lost at once, one of which had ended as done and been
 * noted; and at the end 252 runs that the leader believed in, in an idle cell. Its heartbeats, numbered from 1 too, counted as late
 * ones, so it got nothing for as long as its earlier life had lived.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { LeaderSubject } from '../testing/LeaderSubject'
import { jobOf } from '../testing/samples'

const BEFORE = '00000000000000aa'
const AFTER = '00000000000000bb'
const WORKER = 'w1'

/** A cell of one worker that has ended four runs and then started again. */
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

/** All that the worker runs ends as done. */
function endAll(subject: LeaderSubject): void {
	const worker = subject.worker(WORKER)
	for (const { task } of [...worker.running]) worker.end(task, 'done')
}

test('a task that is done on a worker which has started again does not begin again', () => {
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

test('a step begins after one that was done on a worker which has started again', () => {
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
