import assert from 'node:assert/strict'
import { test } from 'node:test'
import { LeaderSubject } from '../testing/LeaderSubject'
import { jobOf } from '../testing/samples'

const LASTING = '00000000000000c1'
const LATER = '00000000000000c2'
const URGENT = { name: 'urgent', prefix: '/urgent/', priority: 0 }
const ADVICE = { base: 20, each: 1, valid: 2000 }

function subjectWithWorkers(...ids: string[]): LeaderSubject {
	const subject = new LeaderSubject()
	subject.configure({ priority: 2, advice: ADVICE }, URGENT)
	for (const id of ids) subject.heartbeat(id)
	return subject
}

/** Takes 2.4 of the 4 processors of a worker, and more than a quarter with any other task. */
const MUCH = { cpu: 2400, memory: 512, accelerators: 0 }
const SOME = { cpu: 1200, memory: 512, accelerators: 0 }

test('in a calm service nothing waits for urgent work that is not there', () => {
	const ids = ['w1', 'w2', 'w3', 'w4']
	const subject = subjectWithWorkers(...ids)
	subject.allowed = (worker) => worker === 'w1'
	subject.submit(LASTING, jobOf({ need: MUCH, lasting: true }))
	subject.run(500, ...ids)
	subject.submit(LATER, jobOf({ need: SOME }))
	subject.run(3000, ...ids)
	assert.equal(subject.worker('w1').running.length, 2)
})

test('in a service that is in demand a share of each worker is left', () => {
	const subject = subjectWithWorkers('w1')
	subject.submit(LASTING, jobOf({ need: MUCH, lasting: true }))
	subject.run(500, 'w1')
	subject.submit(LATER, jobOf({ need: SOME }))
	subject.run(3000, 'w1')
	assert.equal(subject.worker('w1').running.length, 1)
})
