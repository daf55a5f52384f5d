/**
 * Restarts of a worker under its name: orders, ends, heartbeats and lists of one incarnation that
 * reach the other.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { formatIncarnation } from '../../records/Incarnation'
import { LeaderSubject, type FakeWorker } from '../../testing/LeaderSubject'
import { jobOf } from '../../testing/samples'

const JOB = '00000000000000aa'
const TASK = `${JOB}.0.0.0`
const WORKER = 'w1'
const OTHER = 'w2'
const FIRST = 1_000_000

interface Cell {
	readonly subject: LeaderSubject
	readonly worker: FakeWorker
	readonly other: FakeWorker
}

/** A cell in which the first worker runs the only task and a second one has joined. */
function cellWithRun(born = FIRST): Cell {
	const subject = new LeaderSubject()
	const worker = subject.worker(WORKER)
	const other = subject.worker(OTHER)
	worker.restart(born)
	other.restart(born)
	subject.heartbeat(WORKER)
	subject.run(1000, WORKER)
	subject.submit(JOB, jobOf({}))
	subject.run(1000, WORKER)
	assert.equal(worker.running.length, 1)
	subject.run(1000, WORKER, OTHER)
	return { subject, worker, other }
}

function knownIncarnations({ state }: LeaderSubject): string[] {
	return [...state.workers.all()].map(({ worker }) => worker.id)
}

test('a run that the new incarnation started by an order for the earlier one is stopped before its task starts elsewhere', () => {
	const { subject, worker, other } = cellWithRun()
	worker.restart(FIRST + 5000)
	worker.running = [{ task: TASK, attempt: 1, checkpoint: '', percent: 0, measure: 0 }]
	worker.stopDelay = 200
	for (let spent = 0; spent < 3000; spent += 20) {
		subject.run(20)
		const there = worker.running.filter(({ attempt }) => attempt === 1).length
		const elsewhere = other.running.length + worker.running.length - there
		assert.ok(there === 0 || elsewhere === 0)
	}
	assert.equal(worker.stops.length > 0, true)
	assert.equal(other.running.length + worker.running.length, 1)
})

test('the end in the new incarnation of a run ordered to the earlier one is committed before the earlier one ends', () => {
	const { subject, worker } = cellWithRun()
	worker.restart(FIRST + 5000)
	worker.ended = [{ number: 1, task: TASK, attempt: 1, how: 'done', checkpoint: '' }]
	subject.run(3000, OTHER)
	assert.equal(subject.state.jobs.find(JOB)?.state, 'completed')
	assert.equal(subject.startCount, 1)
})

test('the new incarnation is sent a token above all those sent to the earlier one', () => {
	const { subject, worker } = cellWithRun()
	const sent = [...worker.polls, ...worker.starts].map(({ fence }) => fence)
	const polls = worker.polls.length
	subject.restart(WORKER)
	subject.run(2000, WORKER)
	const after = worker.polls.slice(polls).map(({ fence }) => fence)
	const raised = after.findIndex((fence) => fence > Math.max(...sent))
	assert.ok(raised >= 0)
	assert.ok(after.slice(raised).every((fence) => fence > Math.max(...sent)))
})

test('ends are acknowledged only just after a list of the same incarnation', () => {
	const { subject, worker } = cellWithRun()
	subject.submit('00000000000000bb', jobOf({ count: 8 }))
	subject.run(1000, WORKER, OTHER)
	worker.end(TASK, 'done')
	subject.run(2000, WORKER, OTHER)
	assert.ok(worker.polls.some(({ endsSeen }) => endsSeen === 1))
	worker.isUnresponsive = true
	subject.run(1000, WORKER, OTHER)
	const before = worker.polls.length
	worker.isUnresponsive = false
	subject.run(300, WORKER, OTHER)
	assert.equal(worker.polls[before].endsSeen, 0)
})

// Guards against ends of a new incarnation that the worker forgets before they were received,
// because a delayed list of the earlier incarnation let the leader acknowledge them.
test('a list that was delayed until its worker had restarted acknowledges no ends to the new incarnation', () => {
	const { subject, worker } = cellWithRun()
	subject.submit('00000000000000bb', jobOf({ count: 8 }))
	subject.run(1000, WORKER, OTHER)
	worker.end(TASK, 'done')
	subject.run(2000, WORKER, OTHER)
	worker.answerDelay = 900
	subject.run(3000, WORKER, OTHER)
	const before = worker.polls.length
	worker.restart(FIRST + 5000)
	subject.run(1800, OTHER)
	const named = worker.polls.slice(before).map(({ endsSeen }) => endsSeen)
	assert.ok(named.length > 0)
	assert.deepEqual([...new Set(named)], [0])
})

test('a delayed heartbeat of the earlier incarnation changes nothing', () => {
	const { subject } = cellWithRun()
	const held = subject.nextHeartbeat(WORKER)
	subject.restart(WORKER)
	subject.run(2000, WORKER)
	const known = knownIncarnations(subject)
	assert.ok(!known.includes(held.worker.id))
	subject.call({ kind: 'heartbeat', heartbeat: held })
	subject.run(2000, WORKER)
	assert.deepEqual(knownIncarnations(subject), known)
})

test('an incarnation with an earlier start time replaces one with a later start time', () => {
	const { subject, worker } = cellWithRun(FIRST)
	worker.restart(FIRST - 5000)
	subject.heartbeat(WORKER)
	subject.run(2000, WORKER, OTHER)
	const id = formatIncarnation({ name: WORKER, born: FIRST - 5000 })
	assert.ok(knownIncarnations(subject).includes(id))
	assert.ok(subject.state.workers.isGone(formatIncarnation({ name: WORKER, born: FIRST })))
})

test('a worker that restarts at another address is polled there', () => {
	const { subject, worker, other } = cellWithRun()
	worker.restart(FIRST + 5000)
	worker.address = 'elsewhere:80'
	subject.heartbeat(WORKER, { address: worker.address })
	subject.run(2000, OTHER)
	const current = subject.state.workers.findByName(WORKER)?.worker
	assert.equal(current?.born, FIRST + 5000)
	assert.equal(current.address, worker.address)
	assert.equal(other.running.length + worker.running.length, 1)
})

test('while a worker with a new incarnation does not answer, its runs wait for the lease and then start elsewhere', () => {
	const { subject, worker, other } = cellWithRun()
	// Longer than a worker could keep a lease granted to its earlier incarnation.
	subject.run(16_000, WORKER, OTHER)
	worker.restart(FIRST + 5000)
	subject.run(20)
	worker.isUnresponsive = true
	subject.run(3000, OTHER)
	assert.equal(other.running.length, 0)
	subject.run(4000, OTHER)
	assert.equal(other.running.length, 1)
})

test("an incarnation that may hold a lease computed from the earlier one's clock is waited for up to the longest lease", () => {
	const { subject, worker, other } = cellWithRun()
	subject.run(16_000, WORKER)
	subject.restart(WORKER)
	subject.run(2000, WORKER)
	assert.equal(worker.running.length, 1)
	worker.isUnresponsive = true
	subject.run(7000, OTHER)
	assert.equal(other.running.length, 0)
	subject.run(3000, OTHER)
	assert.equal(other.running.length, 1)
})

test('an entry of another writer under the name of a known worker takes nothing from it', () => {
	const { subject } = cellWithRun()
	const known = knownIncarnations(subject)
	subject.heartbeat(WORKER, { service: 'unheard-of' })
	subject.heartbeat(WORKER, { address: 'elsewhere:1' })
	subject.heartbeat(WORKER, { id: WORKER, born: undefined })
	subject.run(3000, WORKER, OTHER)
	assert.deepEqual(knownIncarnations(subject), known)
	assert.equal(subject.state.workers.findByName(WORKER)?.worker.address, `${WORKER}:80`)
	assert.equal(subject.startCount, 1)
})

test('a stored worker without a start time is taken for the first incarnation that reports one', () => {
	const subject = new LeaderSubject()
	subject.heartbeat(WORKER)
	subject.submit(JOB, jobOf({}))
	subject.run(500, WORKER)
	const worker = subject.worker(WORKER)
	worker.born = FIRST
	subject.run(3000, WORKER)
	assert.deepEqual(knownIncarnations(subject), [WORKER])
	assert.equal(subject.state.workers.findByName(WORKER)?.worker.born, FIRST)
	assert.equal(subject.startCount, 1)
	subject.restart(WORKER)
	subject.run(3000, WORKER)
	assert.ok(subject.state.workers.isGone(WORKER))
	assert.equal(subject.startCount, 2)
})
