/**
 * An overloaded leader refuses new jobs at once and serves everything else. Guards against a leader
 * that accepts more than it has processor time for, falls behind with its own heartbeats, and loses
 * its lease to the next one, which fares the same.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { LeaderSubject } from '../testing/LeaderSubject'
import { jobOf, QUEUE } from '../testing/samples'
import type { CellReply } from './callers/calls'

const LONG_DELAY = 40
const IDS = Array.from({ length: 60 }, (_, number) => number.toString(16).padStart(16, 'a'))

/** @returns a leader whose event loop has been overloaded for 2 s. */
function overloadedSubject(): LeaderSubject {
	const subject = new LeaderSubject()
	subject.heartbeat('w1')
	subject.run(1000, 'w1')
	subject.loopDelay = LONG_DELAY
	subject.run(2000, 'w1')
	return subject
}

function submitAll(subject: LeaderSubject): (CellReply | undefined)[] {
	return IDS.map((id) => subject.submit(id, jobOf({})))
}

test('an overloaded leader refuses most new jobs at once, with a time to come back', () => {
	const subject = overloadedSubject()
	const replies = submitAll(subject)
	const refused = replies.filter((reply) => reply?.kind === 'not-run')
	assert.ok(refused.length > IDS.length / 2)
	for (const reply of refused) assert.ok(reply?.kind === 'not-run' && reply.retryAfter >= 1000)
	for (const [position, reply] of replies.entries()) {
		const isKnown = subject.state.jobs.find(IDS[position]) !== undefined
		assert.equal(isKnown, reply?.kind !== 'not-run')
	}
})

test('a job that was accepted before is not refused when it is submitted again', () => {
	const subject = new LeaderSubject()
	submitAll(subject)
	subject.loopDelay = LONG_DELAY
	subject.run(2000)
	assert.ok(submitAll(subject).every((reply) => reply?.kind === 'accepted'))
})

test('an overloaded leader acknowledges configurations and cancellations, and shows jobs', () => {
	const subject = new LeaderSubject()
	const [id] = IDS
	subject.submit(id, jobOf({}))
	subject.loopDelay = LONG_DELAY
	subject.run(2000)
	subject.configure({})
	assert.equal(subject.call({ kind: 'read-configuration' })?.kind, 'configuration')
	assert.equal(subject.call({ kind: 'show', to: { queue: QUEUE.name, id } })?.kind, 'state')
	assert.equal(subject.call({ kind: 'cancel', to: { queue: QUEUE.name, id } })?.kind, 'noted')
})

test('once the loop keeps up again, all jobs are accepted', () => {
	const subject = overloadedSubject()
	subject.loopDelay = 0
	subject.run(4000, 'w1')
	assert.ok(submitAll(subject).every((reply) => reply?.kind === 'accepted'))
	assert.ok(subject.logLines.some((line) => line.includes('admission-changed')))
})
