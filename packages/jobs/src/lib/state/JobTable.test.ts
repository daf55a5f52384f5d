/** Starts and ends of runs in the job table, and what they change. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { JobState, RunEnd, type JobRequest } from '../records/Job'
import { jobOf, QUEUE } from '../testing/samples'
import type { Change } from './Change'
import { JobTable } from './JobTable'
import { isStepReady, type JobRecord } from './JobRecord'

const ID = '00000000000000aa'

class Subject {
	readonly changes: Change[] = []
	readonly table = new JobTable((change) => this.changes.push(change))

	constructor(job: JobRequest) {
		this.table.submit({ id: ID, queue: QUEUE, request: job, submitted: 0 })
	}

	get job(): JobRecord {
		return this.table.find(ID) as JobRecord
	}

	get kinds(): string[] {
		return this.changes.map((change) => change.kind)
	}

	begin(task: string, attempt = 1, worker = 'w1'): void {
		this.table.start({ task: `${ID}.0.${task}`, attempt, worker })
	}

	end(task: string, how: RunEnd, attempt = 1, checkpoint = ''): void {
		this.table.end({ task: `${ID}.0.${task}`, attempt, how, checkpoint }, 10)
	}
}

test('the last end of a step is counted before it is reported', () => {
	const subject = new Subject(jobOf({}, { dependsOn: [0] }))
	let ready = false
	const table = new JobTable((change) => {
		if (change.kind === 'run-ended') ready = isStepReady(table.find(ID) as JobRecord, 0, 1)
	})
	table.submit({ id: ID, queue: QUEUE, request: subject.job.request, submitted: 0 })
	table.start({ task: `${ID}.0.0.0`, attempt: 1, worker: 'w1' })
	table.end({ task: `${ID}.0.0.0`, attempt: 1, how: RunEnd.Done, checkpoint: '' }, 1)
	assert.equal(ready, true)
})

test('a job is completed once all its tasks are done', () => {
	const subject = new Subject(jobOf({ count: 2 }))
	subject.begin('0.0')
	subject.begin('0.1')
	assert.equal(subject.job.state, JobState.Running)
	subject.end('0.0', RunEnd.Done)
	assert.equal(subject.job.state, JobState.Running)
	subject.end('0.1', RunEnd.Done)
	assert.equal(subject.job.state, JobState.Completed)
})

test('the same id again changes nothing', () => {
	const subject = new Subject(jobOf({}))
	subject.table.submit({ id: ID, queue: QUEUE, request: jobOf({ count: 9 }), submitted: 5 })
	assert.equal(subject.job.request.steps[0].count, 1)
	assert.deepEqual(subject.kinds, ['job-accepted'])
})

test('a task that failed as often as its queue allows fails its job', () => {
	const subject = new Subject(jobOf({}))
	subject.begin('0.0')
	subject.end('0.0', RunEnd.Failed)
	assert.equal(subject.job.state, JobState.Running)
	subject.begin('0.0', 2)
	subject.end('0.0', RunEnd.Failed, 2)
	assert.equal(subject.job.state, JobState.Failed)
})

test('ends that are no failures do not count as attempts', () => {
	const subject = new Subject(jobOf({}))
	const harmless = [
		RunEnd.Stopped,
		RunEnd.LeaseExpired,
		RunEnd.Lost,
		RunEnd.Refused,
		RunEnd.GangTimeout,
	]
	harmless.forEach((how, index) => {
		subject.begin('0.0', index + 1)
		subject.end('0.0', how, index + 1)
	})
	assert.equal(subject.job.state, JobState.Running)
})

test('an abandoned run that turns out to be done is reported, so that the next step becomes ready', () => {
	const subject = new Subject(jobOf({}, { dependsOn: [0] }))
	subject.begin('0.0')
	subject.end('0.0', RunEnd.Lost)
	subject.end('0.0', RunEnd.Done)
	assert.equal(subject.kinds.at(-1), 'task-done')
	assert.equal(isStepReady(subject.job, 0, 1), true)
	subject.begin('0.0', 2)
	assert.equal(subject.kinds.at(-1), 'run-void')
})

test('the late failure of an abandoned run counts as an attempt, once', () => {
	const subject = new Subject(jobOf({}))
	subject.begin('0.0')
	subject.end('0.0', RunEnd.Lost)
	subject.end('0.0', RunEnd.Failed)
	subject.end('0.0', RunEnd.Failed)
	assert.equal(subject.job.state, JobState.Running)
	subject.begin('0.0', 2)
	subject.end('0.0', RunEnd.Failed, 2)
	assert.equal(subject.job.state, JobState.Failed)
})

test('a late end leaves a later run in place until the later one has ended too', () => {
	const subject = new Subject(jobOf({}))
	subject.begin('0.0')
	subject.end('0.0', RunEnd.Lost)
	subject.begin('0.0', 2, 'w2')
	subject.end('0.0', RunEnd.Done)
	assert.equal(subject.job.state, JobState.Running)
	assert.deepEqual([...subject.table.placedOn('w2')], [`${ID}.0.0.0`])
})

test('a task whose earlier run turned out to be done is not restarted, however its later run ends', () => {
	for (const how of [RunEnd.Stopped, RunEnd.Failed, RunEnd.Lost, RunEnd.LeaseExpired]) {
		const subject = new Subject(jobOf({}))
		subject.begin('0.0')
		subject.end('0.0', RunEnd.Lost)
		subject.begin('0.0', 2, 'w2')
		subject.end('0.0', RunEnd.Done)
		assert.equal(subject.kinds.at(-1), 'task-done')
		subject.end('0.0', how, 2)
		assert.equal(subject.job.state, JobState.Completed)
	}
})

test('a run does not start for a cancelled job or under a used attempt number', () => {
	const subject = new Subject(jobOf({ count: 2 }))
	subject.begin('0.0')
	subject.end('0.0', RunEnd.Stopped)
	subject.begin('0.0', 1)
	assert.equal(subject.kinds.at(-1), 'run-void')
	subject.table.cancel(ID, 3)
	subject.begin('0.1')
	assert.equal(subject.kinds.at(-1), 'run-void')
})

test('one done member of a gang counts for all, also for one whose worker is lost', () => {
	const subject = new Subject(jobOf({ count: 2, gang: true }))
	subject.begin('0.0', 1, 'w1')
	subject.begin('0.1', 1, 'w2')
	subject.end('0.0', RunEnd.Done)
	subject.table.endAllOn('w2', 4)
	assert.equal(subject.job.state, JobState.Completed)
})

test('a gang fails an attempt once, however many of its members fail', () => {
	const subject = new Subject(jobOf({ count: 2, gang: true }))
	subject.begin('0.0')
	subject.begin('0.1')
	subject.end('0.0', RunEnd.Failed)
	subject.end('0.1', RunEnd.Failed)
	assert.equal(subject.job.state, JobState.Running)
})

test('lasting tasks are restarted however they end, and never end their job', () => {
	const subject = new Subject(jobOf({ lasting: true }))
	for (let attempt = 1; attempt < 6; attempt++) {
		subject.begin('0.0', attempt)
		subject.end('0.0', RunEnd.Failed, attempt)
	}
	assert.equal(subject.job.state, JobState.Running)
})

test('a checkpoint is kept for the next run and dropped once the task is done', () => {
	const subject = new Subject(jobOf({ checkpoints: true }, {}))
	subject.begin('0.0')
	subject.end('0.0', RunEnd.Stopped, 1, 'half')
	assert.equal(subject.table.locate(`${ID}.0.0.0`)?.task.checkpoint, 'half')
	subject.begin('0.0', 2)
	subject.end('0.0', RunEnd.Done, 2)
	assert.equal(subject.table.locate(`${ID}.0.0.0`)?.task.checkpoint, '')
})

test('a snapshot restores the jobs and the placement of their tasks', () => {
	const subject = new Subject(jobOf({ count: 2 }))
	subject.begin('0.1', 1, 'w7')
	const copy = new JobTable()
	copy.restore(JSON.parse(JSON.stringify(subject.table.snapshot())) as JobRecord[])
	assert.deepEqual([...copy.placedOn('w7')], [`${ID}.0.0.1`])
	assert.equal(copy.find(ID)?.state, JobState.Running)
})
