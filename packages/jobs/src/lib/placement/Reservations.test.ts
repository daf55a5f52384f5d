import assert from 'node:assert/strict'
import { test } from 'node:test'
import { JobState } from '../records/Job'
import { LeaderSubject } from '../testing/LeaderSubject'
import { jobOf } from '../testing/samples'

const BIG = '00000000000000b1'
const LATER_BIG = '00000000000000b2'
const WORKERS = ['w1', 'w2']
const WHOLE_WORKER = { cpu: 4000, memory: 512, accelerators: 0 }
const QUARTER = { cpu: 900, memory: 512, accelerators: 0 }

function smallId(number: number): string {
	return `00000000000001${number.toString(16).padStart(2, '0')}`
}

/** Two workers on which small tasks start and end so that neither worker is ever empty. */
function busySubject(): LeaderSubject {
	const subject = new LeaderSubject({ latencyTarget: 200_000 })
	for (const id of WORKERS) {
		subject.heartbeat(id)
		subject.worker(id).progressPerPoll = 15
	}
	return subject
}

/** Submits two small tasks a second and ends them in the order of submission. */
function runSmallTasks(subject: LeaderSubject, from: number, seconds: number): void {
	for (let second = 0; second < seconds; second++) {
		for (let each = 0; each < 2; each++) {
			const number = from + second * 2 + each
			subject.submit(smallId(number), jobOf({ need: QUARTER, expectedTime: 3000 }))
		}
		subject.run(1000, ...WORKERS)
		const oldest = smallId(from + second * 2 - 4)
		const next = smallId(from + second * 2 - 3)
		for (const id of WORKERS) {
			for (const job of [oldest, next]) {
				const task = `${job}.0.0.0`
				const fake = subject.worker(id)
				if (fake.running.some((run) => run.task === task)) fake.end(task, 'done')
			}
		}
	}
}

test('a task that needs a whole worker starts although smaller ones keep arriving', () => {
	const subject = busySubject()
	runSmallTasks(subject, 0, 6)
	subject.submit(BIG, jobOf({ need: WHOLE_WORKER, expectedTime: 3000 }))
	runSmallTasks(subject, 12, 12)
	assert.equal(subject.state.jobs.find(BIG)?.state, JobState.Running)
})

test('tasks of a wide step start as capacity is freed, however long the last of them has to wait', () => {
	const subject = new LeaderSubject({ advice: { base: 20, each: 1, valid: 2000 } })
	for (const id of WORKERS) subject.heartbeat(id)
	const half = { cpu: 2000, memory: 512, accelerators: 0 }
	// The task on the other worker runs for long, so the last tasks have to wait.
	subject.isAllowed = (worker) => worker === 'w2'
	subject.submit(smallId(1), jobOf({ need: WHOLE_WORKER, expectedTime: 120_000 }))
	subject.run(500, ...WORKERS)
	subject.isAllowed = () => true
	subject.submit(BIG, jobOf({ count: 6, need: half, expectedTime: 3000 }))
	subject.run(3000, ...WORKERS)
	const fake = subject.worker('w1')
	assert.equal(fake.running.length, 2)
	// Their tickets have expired; the next tasks must start as soon as these end.
	for (const { task } of fake.running) fake.end(task, 'done')
	subject.run(1500, ...WORKERS)
	assert.equal(subject.worker('w1').running.length, 2)
})

test('small tasks still start on workers without a reservation', () => {
	const subject = busySubject()
	runSmallTasks(subject, 0, 6)
	subject.submit(BIG, jobOf({ need: WHOLE_WORKER, expectedTime: 3000 }))
	const before = subject.startCount
	runSmallTasks(subject, 12, 4)
	assert.ok(subject.startCount > before, 'the other worker takes small tasks')
})

test('a reservation is removed when its job is cancelled', () => {
	const subject = busySubject()
	runSmallTasks(subject, 0, 6)
	subject.submit(BIG, jobOf({ need: WHOLE_WORKER, expectedTime: 3000 }))
	subject.submit(LATER_BIG, jobOf({ need: WHOLE_WORKER, expectedTime: 3000 }))
	subject.run(200, ...WORKERS)
	for (const id of [BIG, LATER_BIG]) subject.call({ kind: 'cancel', to: { id } })
	subject.run(1000, ...WORKERS)
	const before = subject.startCount
	subject.submit(smallId(90), jobOf({ need: QUARTER, expectedTime: 60_000 }))
	subject.run(100, ...WORKERS)
	assert.equal(subject.startCount, before + 1)
})
