/** What crosses when a worker starts again under its name: orders, ends, heartbeats and lists of one life that reach the other. */
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

/** A cell in which the first worker runs the only task, and another one has joined since. */
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

function knownLives({ state }: LeaderSubject): string[] {
	return [...state.workers.all()].map(({ worker }) => worker.id)
}

test('a run that the new life began by an order for the earlier one is stopped before its task begins elsewhere', () => {
	const { subject, worker, other } = cellWithRun()
	worker.restart(FIRST + 5000)
	worker.running = [{ task: TASK, attempt: 1, checkpoint: '', percent: 0, measure: 0 }]
	worker.stopTakes = 200
	for (let spent = 0; spent < 3000; spent += 20) {
		subject.run(20)
		const there = worker.running.filter(({ attempt }) => attempt === 1).length
		const elsewhere = other.running.length + worker.running.length - there
		assert.ok(there === 0 || elsewhere === 0)
	}
	assert.equal(worker.stops.length > 0, true)
	assert.equal(other.running.length + worker.running.length, 1)
})

test('an end in the new life, of a run that was ordered to the earlier one, is committed before that one is over', () => {
	const { subject, worker } = cellWithRun()
	worker.restart(FIRST + 5000)
	worker.ended = [{ number: 1, task: TASK, attempt: 1, how: 'done', checkpoint: '' }]
	subject.run(3000, OTHER)
	assert.equal(subject.state.jobs.find(JOB)?.state, 'completed')
	assert.equal(subject.startCount, 1)
})

test('the new life is told a token above all that the earlier one was sent', () => {
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

test('ends are named as seen only just after a list of the same life', () => {
	const { subject, worker } = cellWithRun()
	subject.submit('00000000000000bb', jobOf({ count: 8 }))
	subject.run(1000, WORKER, OTHER)
	worker.end(TASK, 'done')
	subject.run(2000, WORKER, OTHER)
	assert.ok(worker.polls.some(({ endsSeen }) => endsSeen === 1))
	worker.silent = true
	subject.run(1000, WORKER, OTHER)
	const before = worker.polls.length
	worker.silent = false
	subject.run(300, WORKER, OTHER)
	assert.equal(worker.polls[before].endsSeen, 0)
})

// Guards against ends of a new life that are forgotten before anyone has heard of them: a list of the earlier life came after its end.
test('a list that was held up until its worker had started again names no ends to the new life', () => {
	const { subject, worker } = cellWithRun()
	subject.submit('00000000000000bb', jobOf({ count: 8 }))
	subject.run(1000, WORKER, OTHER)
	worker.end(TASK, 'done')
	subject.run(2000, WORKER, OTHER)
	worker.answersHeldUp = 900
	subject.run(3000, WORKER, OTHER)
	const before = worker.polls.length
	worker.restart(FIRST + 5000)
	subject.run(1800, OTHER)
	const named = worker.polls.slice(before).map(({ endsSeen }) => endsSeen)
	assert.ok(named.length > 0)
	assert.deepEqual([...new Set(named)], [0])
})

test('a heartbeat of the earlier life that was held back changes nothing', () => {
	const { subject } = cellWithRun()
	const held = subject.nextHeartbeat(WORKER)
	subject.restart(WORKER)
	subject.run(2000, WORKER)
	const lives = knownLives(subject)
	assert.ok(!lives.includes(held.worker.id))
	subject.call({ kind: 'heartbeat', heartbeat: held })
	subject.run(2000, WORKER)
	assert.deepEqual(knownLives(subject), lives)
})

test('a life that began earlier by its calendar takes the place of one that began later', () => {
	const { subject, worker } = cellWithRun(FIRST)
	worker.restart(FIRST - 5000)
	subject.heartbeat(WORKER)
	subject.run(2000, WORKER, OTHER)
	const id = formatIncarnation({ name: WORKER, born: FIRST - 5000 })
	assert.ok(knownLives(subject).includes(id))
	assert.ok(subject.state.workers.isGone(formatIncarnation({ name: WORKER, born: FIRST })))
})

test('a worker that starts again at another address is asked there', () => {
	const { subject, worker, other } = cellWithRun()
	worker.restart(FIRST + 5000)
	worker.address = 'elsewhere:80'
	subject.heartbeat(WORKER, { address: worker.address })
	subject.run(2000, OTHER)
	const life = subject.state.workers.named(WORKER)?.worker
	assert.equal(life?.born, FIRST + 5000)
	assert.equal(life.address, worker.address)
	assert.equal(other.running.length + worker.running.length, 1)
})

test('while a worker of which another life was heard does not answer, its runs wait for the lease and then begin elsewhere', () => {
	const { subject, worker, other } = cellWithRun()
	// Longer than a worker could still keep what its earlier life was granted.
	subject.run(16_000, WORKER, OTHER)
	worker.restart(FIRST + 5000)
	subject.run(20)
	worker.silent = true
	subject.run(3000, OTHER)
	assert.equal(other.running.length, 0)
	subject.run(4000, OTHER)
	assert.equal(other.running.length, 1)
})

test('a life that may have been granted the lease of the earlier one by its clock is waited for as long as a worker keeps anything', () => {
	const { subject, worker, other } = cellWithRun()
	subject.run(16_000, WORKER)
	subject.restart(WORKER)
	subject.run(2000, WORKER)
	assert.equal(worker.running.length, 1)
	worker.silent = true
	subject.run(7000, OTHER)
	assert.equal(other.running.length, 0)
	subject.run(3000, OTHER)
	assert.equal(other.running.length, 1)
})

test('an entry of another writer under the name of a known worker takes nothing from it', () => {
	const { subject } = cellWithRun()
	const lives = knownLives(subject)
	subject.heartbeat(WORKER, { service: 'unheard-of' })
	subject.heartbeat(WORKER, { address: 'elsewhere:1' })
	subject.heartbeat(WORKER, { id: WORKER, born: undefined })
	subject.run(3000, WORKER, OTHER)
	assert.deepEqual(knownLives(subject), lives)
	assert.equal(subject.state.workers.named(WORKER)?.worker.address, `${WORKER}:80`)
	assert.equal(subject.startCount, 1)
})

test('a worker that a record of before knows without its birth is the life that tells it first', () => {
	const subject = new LeaderSubject()
	subject.heartbeat(WORKER)
	subject.submit(JOB, jobOf({}))
	subject.run(500, WORKER)
	const worker = subject.worker(WORKER)
	worker.born = FIRST
	subject.run(3000, WORKER)
	assert.deepEqual(knownLives(subject), [WORKER])
	assert.equal(subject.state.workers.named(WORKER)?.worker.born, FIRST)
	assert.equal(subject.startCount, 1)
	subject.restart(WORKER)
	subject.run(3000, WORKER)
	assert.ok(subject.state.workers.isGone(WORKER))
	assert.equal(subject.startCount, 2)
})
