/** Probes of workers beside pending polls, and polls after ends were listed. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { RunEnd } from '../../records/Job'
import { LeaderSubject } from '../../testing/LeaderSubject'
import { jobOf } from '../../testing/samples'

const ID = '00000000000000aa'
const TASK = `${ID}.0.0.0`
const URGENT = { name: 'urgent', prefix: '/urgent/', priority: 0 }
/** A short task. */
const SHORT = { expectedTime: 640 }

/** A cell with a worker whose first poll gets no answer and whose task ends after 640 ms. */
function subjectWithLostPoll(queue: string): LeaderSubject {
	const subject = new LeaderSubject()
	subject.configure({ priority: 2 }, URGENT)
	subject.heartbeat('w1')
	subject.worker('w1').lostPolls = 1
	subject.submit(ID, jobOf(SHORT), queue)
	subject.run(640, 'w1')
	subject.worker('w1').end(TASK, RunEnd.Done)
	subject.run(200, 'w1')
	return subject
}

test('the end of an urgent run is known soon although the poll that would have reported it is lost', () => {
	const subject = subjectWithLostPoll(URGENT.name)
	assert.equal(subject.state.jobs.find(ID)?.state, 'completed')
})

test('the end of other runs is known once the lost poll has timed out', () => {
	const subject = subjectWithLostPoll('checks')
	assert.equal(subject.state.jobs.find(ID)?.state, 'running')
	subject.run(1000, 'w1')
	assert.equal(subject.state.jobs.find(ID)?.state, 'completed')
})

test('no probe is sent while polls are answered, however long a run takes', () => {
	const subject = new LeaderSubject()
	subject.heartbeat('w1')
	subject.submit(ID, jobOf(SHORT))
	subject.run(3000, 'w1')
	assert.deepEqual(
		subject.worker('w1').polls.filter(({ wait }) => wait === 0),
		[]
	)
})

// Guards against polls that only list ends again whose commit is pending: they were a sixth of all
// polls.
test('a worker is polled again once the ends that it listed are committed', () => {
	const subject = new LeaderSubject()
	subject.heartbeat('w1')
	subject.submit(ID, jobOf({ ...SHORT, count: 2 }))
	subject.run(200, 'w1')
	const { polls } = subject.worker('w1')
	subject.worker('w1').end(TASK, RunEnd.Done)
	subject.proposals.held = true
	subject.run(2000, 'w1')
	assert.ok(polls.length < 30, `${polls.length} polls`)
	subject.proposals.held = false
	subject.proposals.commit()
	subject.run(100, 'w1')
	assert.equal(polls.at(-1)!.endsSeen, 1)
})
