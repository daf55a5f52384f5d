import assert from 'node:assert/strict'
import { test } from 'node:test'
import { LeaderSubject } from '../testing/LeaderSubject'
import { jobOf } from '../testing/samples'

const WORKERS = ['w1', 'w2', 'w3', 'w4', 'w5', 'w6', 'w7', 'w8']
const SLOW = ['w1', 'w2']
/** Progress of a task between two polls, in percent. */
const SLOW_PACE = 2
const PACE = 4
/** Milliseconds in which speeds are learned from three tasks on each worker. */
const LEARNED_IN = 4000
const GANG = '00000000000000c1'

/** Eight workers, two of them slow, each running one task of each of three steps. */
function unevenSubject(slowPace = SLOW_PACE): LeaderSubject {
	const subject = new LeaderSubject()
	for (const id of WORKERS) {
		subject.heartbeat(id)
		subject.worker(id).progressPerPoll = SLOW.includes(id) ? slowPace : PACE
	}
	for (const job of ['00000000000000a1', '00000000000000a2', '00000000000000a3']) {
		subject.submit(job, jobOf({ count: WORKERS.length, mostPerWorker: 1 }))
	}
	return subject
}

function workersLoggedSlow(subject: LeaderSubject): string[] {
	const lines = subject.logLines.filter((line) => line.includes('"worker-slow"'))
	return SLOW.filter((id) => lines.some((line) => line.includes(`"${id}"`)))
}

/** The number of starts that slow workers have received. */
function startsOnSlow(subject: LeaderSubject): number {
	return SLOW.reduce((sum, id) => sum + subject.worker(id).starts.length, 0)
}

test('slow workers are found from the tasks that they list, and a gang avoids them', () => {
	const subject = unevenSubject()
	subject.run(LEARNED_IN, ...WORKERS)
	assert.deepEqual(workersLoggedSlow(subject), SLOW)
	const before = startsOnSlow(subject)
	subject.submit(GANG, jobOf({ count: 6, gang: true }))
	subject.run(100, ...WORKERS)
	assert.equal(startsOnSlow(subject), before)
	assert.equal(subject.startCount, 3 * WORKERS.length + 6)
})

test('a gang that finds too little capacity on the other workers starts on slow ones after a while', () => {
	const subject = unevenSubject()
	subject.run(LEARNED_IN, ...WORKERS)
	subject.submit('00000000000000c0', jobOf({ gang: true }))
	subject.submit(GANG, jobOf({ count: 6, gang: true }))
	subject.run(100, ...WORKERS)
	const startsWhileWaiting = subject.startCount
	assert.equal(startsWhileWaiting, 3 * WORKERS.length + 1)
	subject.run(2500, ...WORKERS)
	assert.equal(subject.startCount, startsWhileWaiting + 6)
})

test('the next leader learns the speeds again from the tasks that workers list', () => {
	const subject = unevenSubject()
	subject.run(LEARNED_IN, ...WORKERS)
	subject.logLines.length = 0
	subject.lead()
	subject.run(LEARNED_IN, ...WORKERS)
	assert.deepEqual(workersLoggedSlow(subject), SLOW)
})

test('no worker is logged as slow if all speeds are similar', () => {
	const subject = unevenSubject(PACE)
	subject.run(LEARNED_IN, ...WORKERS)
	assert.equal(subject.logLines.filter((line) => /speeds-heeded|worker-slow/.test(line)).length, 0)
})
