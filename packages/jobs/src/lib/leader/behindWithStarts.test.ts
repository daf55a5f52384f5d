/**
 * Limit of concurrent starts. Guards against clients that wait for seconds and get 504 replies when
 * the instances have half the processor time that their load needs: if all starts are ordered at
 * once, orders queue behind each other until they count as lost, and are sent again.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { RunEnd } from '../records/Job'
import { LeaderSubject } from '../testing/LeaderSubject'
import { jobOf, QUEUE } from '../testing/samples'

const URGENT = { name: 'urgent', prefix: '/urgent/', priority: 0, latencyTarget: 250 }
const WORKERS = Array.from({ length: 40 }, (_, number) => `w${number}`)
const TASKS_EACH = 4
const NOT_CARRIED = { kind: 'not-carried' } as const

/** @returns a cell that is behind: its workers have not confirmed the starts ordered a second ago. */
function subjectBehind(): LeaderSubject {
	const subject = new LeaderSubject()
	subject.configure({ priority: 2, latencyTarget: 1000 }, URGENT)
	for (const id of WORKERS) subject.heartbeat(id)
	subject.run(1000, ...WORKERS)
	for (const id of WORKERS) subject.worker(id).startResults = Array(30_000).fill(NOT_CARRIED)
	subject.submit('00000000000000a1', jobOf({ count: 30 }))
	subject.run(1500, ...WORKERS)
	return subject
}

// Guards against starts that are ordered faster than they are confirmed, time out in transit and
// are ordered again.
test('a cell that is behind with its starts decides no more starts than it can confirm', () => {
	const subject = subjectBehind()
	const before = startedInAll(subject)
	subject.submit('00000000000000a2', jobOf({ count: WORKERS.length * TASKS_EACH - 30 }))
	subject.run(1000, ...WORKERS)
	assert.equal(startedInAll(subject), before)
	assert.ok(subject.logLines.some((line) => line.includes('start-window-changed')))
})

test('when the starts are confirmed, waiting work starts, the most urgent first', () => {
	const subject = subjectBehind()
	subject.submit('00000000000000a2', jobOf({ count: 100 }), QUEUE.name)
	subject.submit('00000000000000a3', jobOf({ count: 8 }), URGENT.name)
	for (const id of WORKERS) subject.worker(id).startResults = []
	while (startedOf(subject, 'a2') === 0 && subject.clock.now() < 60_000) subject.run(20, ...WORKERS)
	assert.equal(startedOf(subject, 'a3'), 8)
	subject.run(10_000, ...WORKERS)
	assert.equal(startedOf(subject, 'a2'), 100)
})

// Guards against starts on disconnected workers, which cannot be confirmed, blocking other starts
// until the leases expire.
test('starts on unreachable workers do not delay starts on others', () => {
	const subject = new LeaderSubject()
	for (const id of WORKERS) subject.heartbeat(id)
	subject.run(1000, ...WORKERS)
	const cut = WORKERS.slice(0, WORKERS.length / 2)
	for (const id of cut) subject.worker(id).isUnresponsive = true
	subject.submit('00000000000000a1', jobOf({ count: WORKERS.length * TASKS_EACH }))
	subject.run(1500, ...WORKERS.slice(WORKERS.length / 2))
	for (const id of WORKERS.slice(WORKERS.length / 2)) endAll(subject, id)
	subject.submit('00000000000000a2', jobOf({ count: 60 }))
	subject.run(2000, ...WORKERS.slice(WORKERS.length / 2))
	assert.equal(startedOf(subject, 'a2'), 60)
})

function endAll(subject: LeaderSubject, id: string): void {
	const worker = subject.worker(id)
	for (const { task } of worker.running) worker.end(task, RunEnd.Done)
}

function startedOf({ state }: LeaderSubject, id: string): number {
	const { tasks } = state.jobs.find(id.padStart(16, '0'))!.repeats[0][0]
	return tasks.filter(({ attempt }) => attempt > 0).length
}

function startedInAll(subject: LeaderSubject): number {
	return [...subject.state.jobs.all()].reduce((sum, { id }) => sum + startedOf(subject, id), 0)
}
