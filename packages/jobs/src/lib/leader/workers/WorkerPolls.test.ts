/** What is asked of workers beside the polls that wait there. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { RunEnd } from '../../records/Job'
import { LeaderSubject } from '../../testing/LeaderSubject'
import { jobOf } from '../../testing/samples'

const ID = '00000000000000aa'
const TASK = `${ID}.0.0.0`
const URGENT = { name: 'urgent', prefix: '/urgent/', priority: 0 }
/** A single check of the users' mix. */
const SHORT = { expectedTime: 640 }

/** A worker whose poll gets no answer, with a task that ends after 640 ms. */
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

test('the end of an urgent run is known soon although the poll that would have told it is lost', () => {
	const subject = subjectWithLostPoll(URGENT.name)
	assert.equal(subject.state.jobs.find(ID)?.state, 'completed')
})

test('for other work the poll is waited for', () => {
	const subject = subjectWithLostPoll('checks')
	assert.equal(subject.state.jobs.find(ID)?.state, 'running')
	subject.run(1000, 'w1')
	assert.equal(subject.state.jobs.find(ID)?.state, 'completed')
})

test('nothing is asked beside polls that are answered, however long an urgent run takes', () => {
	const subject = new LeaderSubject()
	subject.heartbeat('w1')
	subject.submit(ID, jobOf(SHORT))
	subject.run(3000, 'w1')
	assert.deepEqual(
		subject.worker('w1').polls.filter(({ wait }) => wait === 0),
		[]
	)
})

// Guards against polls that only list again what is on its way to being committed: they were a sixth of all polls.
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
