/** Other work leaves free as much of a service as urgent work was seen to use. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { LeaderSubject } from '../testing/LeaderSubject'
import { jobOf } from '../testing/samples'

const LASTING = '00000000000000c1'
const LATER = '00000000000000c2'
const URGENT_JOB = '00000000000000c3'
const URGENT = { name: 'urgent', prefix: '/urgent/', priority: 0 }
const ADVICE = { base: 20, each: 1, valid: 2000 }
const FOUR = ['w1', 'w2', 'w3', 'w4']
const ONE = { cpu: 1000, memory: 512, accelerators: 0 }

function subjectWithWorkers(...ids: string[]): LeaderSubject {
	const subject = new LeaderSubject()
	subject.configure({ priority: 2, advice: ADVICE }, URGENT)
	for (const id of ids) subject.heartbeat(id)
	return subject
}

function running(subject: LeaderSubject, job: string): number {
	const all = FOUR.flatMap((id) => subject.worker(id).running)
	return all.filter(({ task }) => task.startsWith(job)).length
}

function endAll(subject: LeaderSubject, job: string): void {
	for (const id of FOUR) {
		for (const { task } of subject.worker(id).running) {
			if (task.startsWith(job)) subject.worker(id).end(task, 'done')
		}
	}
}

/**
 * Takes 2.4 of the 4 processors of a worker; with any other task less than a quarter stays free.
 */
const MUCH = { cpu: 2400, memory: 512, accelerators: 0 }
const SOME = { cpu: 1200, memory: 512, accelerators: 0 }

test('in a service with little load nothing waits for urgent work that does not exist', () => {
	const subject = subjectWithWorkers(...FOUR)
	subject.isAllowed = (worker) => worker === 'w1'
	subject.submit(LASTING, jobOf({ need: MUCH, lasting: true }))
	subject.run(500, ...FOUR)
	subject.submit(LATER, jobOf({ need: SOME }))
	subject.run(3000, ...FOUR)
	assert.equal(subject.worker('w1').running.length, 2)
})

test('large tasks may fill a worker while the service has capacity elsewhere', () => {
	const subject = subjectWithWorkers(...FOUR)
	subject.isAllowed = (worker) => worker === 'w1'
	subject.submit(LATER, jobOf({ count: 3, need: { ...SOME, cpu: 1300 } }))
	subject.run(3000, ...FOUR)
	assert.equal(subject.worker('w1').running.length, 3)
})

test('a small share of a service is left free even if no urgent work was seen', () => {
	const subject = subjectWithWorkers(...FOUR)
	subject.submit(LATER, jobOf({ count: 16, need: ONE }))
	subject.run(1000, ...FOUR)
	assert.equal(running(subject, LATER), 15)
})

test('capacity that urgent work used stays free after it has ended, and is released over time', () => {
	const subject = subjectWithWorkers(...FOUR)
	subject.submit(URGENT_JOB, jobOf({ count: 2, need: ONE }), URGENT.name)
	subject.run(500, ...FOUR)
	endAll(subject, URGENT_JOB)
	subject.run(500, ...FOUR)
	subject.submit(LATER, jobOf({ count: 16, need: ONE }))
	subject.run(1000, ...FOUR)
	assert.equal(running(subject, LATER), 13)
	subject.run(60_000, ...FOUR)
	assert.equal(running(subject, LATER), 15)
})

test('capacity in use by urgent work is not kept free a second time, and other work gets most of the service', () => {
	const subject = subjectWithWorkers(...FOUR)
	subject.submit(URGENT_JOB, jobOf({ count: 8, need: ONE }), URGENT.name)
	subject.run(500, ...FOUR)
	subject.submit(LATER, jobOf({ count: 16, need: ONE }))
	subject.run(1000, ...FOUR)
	assert.equal(running(subject, LATER), 8)
	endAll(subject, URGENT_JOB)
	subject.run(2000, ...FOUR)
	assert.equal(running(subject, LATER), 12)
})
