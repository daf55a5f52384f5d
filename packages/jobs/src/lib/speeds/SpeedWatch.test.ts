import assert from 'node:assert/strict'
import { test } from 'node:test'
import { LeaderSubject } from '../testing/LeaderSubject'
import { jobOf } from '../testing/samples'

const WORKERS = ['w1', 'w2', 'w3', 'w4', 'w5', 'w6', 'w7', 'w8']
const SLOW = ['w1', 'w2']
/** Percent by which tasks get on between two polls. */
const SLOW_PACE = 2
const PACE = 4
/** Milliseconds in which speeds are learned from three tasks on each worker. */
const LEARNED_IN = 4000
const GANG = '00000000000000c1'

/** Eight workers, two of them slow, with a task of each of three steps on every one. */
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

function calledSlow(subject: LeaderSubject): string[] {
	const lines = subject.logLines.filter((line) => line.includes('"worker-slow"'))
	return SLOW.filter((id) => lines.some((line) => line.includes(`"${id}"`)))
}

/** How many starts slow workers were ordered. */
function startsOnSlow(subject: LeaderSubject): number {
	return SLOW.reduce((sum, id) => sum + subject.worker(id).starts.length, 0)
}

test('slow workers are told from what they list, and a gang keeps off them', () => {
	const subject = unevenSubject()
	subject.run(LEARNED_IN, ...WORKERS)
	assert.deepEqual(calledSlow(subject), SLOW)
	const before = startsOnSlow(subject)
	subject.submit(GANG, jobOf({ count: 6, gang: true }))
	subject.run(100, ...WORKERS)
	assert.equal(startsOnSlow(subject), before)
	assert.equal(subject.startCount, 3 * WORKERS.length + 6)
})

test('a gang that finds no room beside slow workers begins on them after a while', () => {
	const subject = unevenSubject()
	subject.run(LEARNED_IN, ...WORKERS)
	subject.submit('00000000000000c0', jobOf({ gang: true }))
	subject.submit(GANG, jobOf({ count: 6, gang: true }))
	subject.run(100, ...WORKERS)
	const waits = subject.startCount
	assert.equal(waits, 3 * WORKERS.length + 1)
	subject.run(2500, ...WORKERS)
	assert.equal(subject.startCount, waits + 6)
})

test('the next leader learns speeds anew from what workers list', () => {
	const subject = unevenSubject()
	subject.run(LEARNED_IN, ...WORKERS)
	subject.logLines.length = 0
	subject.lead()
	subject.run(LEARNED_IN, ...WORKERS)
	assert.deepEqual(calledSlow(subject), SLOW)
})

test('where workers are alike none is called slow', () => {
	const subject = unevenSubject(PACE)
	subject.run(LEARNED_IN, ...WORKERS)
	assert.equal(subject.logLines.filter((line) => /speeds-heeded|worker-slow/.test(line)).length, 0)
})
