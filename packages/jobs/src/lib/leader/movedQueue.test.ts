/**
 * Work whose queue is configured anew: its service, priority and advice are those of the
 * configuration in force, under this leader and the next one. Runs stay where they are.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { Queue } from '../records/Cell'
import { JobState, type Step } from '../records/Job'
import { jobOf, QUEUE } from '../testing/samples'
import { FINISH_MS, ID, LASTING_MS, TASK, WaitingCell } from '../testing/WaitingCell'

const OTHER = '00000000000000bb'
const NEW_SERVICE = 'new-service'
const MOVED: Partial<Queue> = { service: NEW_SERVICE }
/** Another queue, so that the first one is removed. */
const REMOVED: Partial<Queue> = { name: 'kept', prefix: '/kept/' }
const SMALL = { cpu: 100, memory: 64, accelerators: 0 }
const WHOLE = { cpu: 4000, memory: 512, accelerators: 0 }
const OLD_WORKER = 'w1'
const NEW_WORKERS = ['w2', 'w3']

/** A cell with one worker of the old service and two of the new one, which alone have a label. */
function movableCell(queue: Partial<Queue> = {}): WaitingCell {
	const cell = new WaitingCell({ maxAttempts: 2, ...queue })
	cell.join(1, 'vake', { labels: ['b'] })
	cell.join(NEW_WORKERS.length, 'vake', { labels: ['b'], service: NEW_SERVICE })
	cell.run(1000)
	return cell
}

function isAtNewService(cell: WaitingCell, id = ID, count = 1): boolean {
	const tasks = Array.from({ length: count }, (_, index) => `${id}.0.0.${index}`)
	return tasks.every((task) => NEW_WORKERS.includes(cell.runnerOf(task) ?? ''))
}

/** The worker of the old service leaves as planned. */
function leave(cell: WaitingCell): void {
	cell.up.delete(OLD_WORKER)
	cell.subject.heartbeat(OLD_WORKER, {}, true)
}

// Guards against a task that waits for workers of a service that its queue has left: a step kept the
// queue as configured when it was opened, and a lasting one is never closed (review/5, LOST).
for (const [name, step] of Object.entries<Partial<Step>>({
	'a lasting task': { lasting: true },
	'two lasting tasks': { lasting: true, count: 2, mostPerWorker: 1, requires: 'b' },
	'a task that repeats from a checkpoint': { checkpoints: true },
})) {
	test(`${name} of a queue that has moved starts at the new service once its worker leaves`, () => {
		const cell = movableCell()
		const { count = 1, lasting } = step
		cell.submit(jobOf({ need: SMALL, ...step }))
		cell.start()
		cell.subject.configure(MOVED)
		cell.run(2000)
		assert.equal(cell.runnerOf(), OLD_WORKER, 'a run stays where it is')
		leave(cell)
		if (!lasting) cell.worker(OLD_WORKER).end(TASK, 'stopped')
		const took = cell.run(60_000, () => isAtNewService(cell, ID, count))
		assert.ok(took <= (lasting ? LASTING_MS : FINISH_MS), `${took} ms without a run`)
	})
}

test('a gang of a queue that has moved starts at the new service once a member has ended', () => {
	const cell = movableCell()
	cell.submit(jobOf({ need: SMALL, gang: true, count: 2 }))
	cell.start()
	cell.subject.configure(MOVED)
	for (const { task } of [...cell.worker(OLD_WORKER).running])
		cell.worker(OLD_WORKER).end(task, 'broken')
	const took = cell.run(60_000, () => isAtNewService(cell, ID, 2))
	assert.ok(took <= FINISH_MS, `${took} ms without a run`)
})

test('a step that waits for room at the old service starts at the new one', () => {
	const cell = movableCell()
	cell.submit(jobOf({ need: WHOLE, lasting: true }), OTHER)
	cell.start(`${OTHER}.0.0.0`)
	cell.submit(jobOf({ need: WHOLE }))
	cell.run(1000)
	cell.subject.configure(MOVED)
	assert.ok(cell.run(FINISH_MS, () => isAtNewService(cell)) < FINISH_MS)
})

test('a gang that holds a reservation at the old service starts at the new one', () => {
	const cell = movableCell()
	cell.submit(jobOf({ need: SMALL, lasting: true }), OTHER)
	cell.start(`${OTHER}.0.0.0`)
	cell.submit(jobOf({ need: WHOLE, gang: true, count: 2, mostPerWorker: 1 }))
	cell.run(1000)
	cell.subject.configure(MOVED)
	assert.ok(cell.run(FINISH_MS, () => isAtNewService(cell, ID, 2)) < FINISH_MS)
})

test('the next step of a graph starts at the new service', () => {
	const cell = movableCell()
	cell.submit(jobOf({ need: SMALL }, { need: SMALL, dependsOn: [0] }))
	cell.start()
	cell.subject.configure(MOVED)
	cell.worker(OLD_WORKER).end(TASK, 'done')
	const next = `${ID}.0.1.0`
	assert.ok(cell.run(FINISH_MS, () => cell.runnerOf(next) !== undefined) < FINISH_MS)
	assert.ok(NEW_WORKERS.includes(cell.runnerOf(next)!))
})

test('a repeat that is due later starts at the new service', () => {
	const cell = movableCell()
	const first = cell.subject.clock.date().getTime() + 2000
	cell.submit({ ...jobOf({ need: SMALL }), repeat: { count: 1, first, interval: 60_000 } })
	cell.subject.configure(MOVED)
	assert.ok(cell.run(FINISH_MS, () => isAtNewService(cell)) < FINISH_MS)
})

// Guards against leaders that disagree: the record kept the queue with which the job was accepted.
for (const changes of [0, 1]) {
	test(`a job of a queue that has moved and was removed runs at the new service, leaders ${changes}`, () => {
		const cell = movableCell()
		cell.submit(jobOf({ need: SMALL, lasting: true }))
		cell.start()
		cell.subject.configure(MOVED)
		cell.subject.configure(REMOVED)
		for (let count = 0; count < changes; count++) cell.subject.lead()
		cell.run(1000)
		leave(cell)
		const took = cell.run(60_000, () => isAtNewService(cell))
		assert.ok(took <= LASTING_MS, `${took} ms without a run`)
	})
}

// Guards against a job that misses a configuration which is committed just before it.
test('a job that was proposed before its queue moved and committed after it runs at the new service', () => {
	const cell = movableCell()
	const { subject } = cell
	subject.proposals.held = true
	subject.configure(MOVED)
	subject.submit(ID, jobOf({ need: SMALL }))
	subject.proposals.held = false
	subject.proposals.commit()
	assert.ok(cell.run(FINISH_MS, () => isAtNewService(cell)) < FINISH_MS)
})

test('a step of a queue whose priority has risen goes before others', () => {
	const low = { name: 'low', prefix: '/low/', priority: 2 }
	const cell = new WaitingCell().join(1)
	cell.subject.configure({ priority: 3 }, low)
	cell.run(1000)
	cell.submit(jobOf({ need: WHOLE }), OTHER)
	cell.start(`${OTHER}.0.0.0`)
	cell.subject.submit('00000000000000cc', jobOf({ need: WHOLE }), 'low')
	cell.submit(jobOf({ need: WHOLE }))
	cell.run(500)
	cell.subject.configure({ priority: 1 }, low)
	cell.worker('w1').end(`${OTHER}.0.0.0`, 'done')
	cell.run(FINISH_MS, () => cell.isAtWork() || cell.isAtWork('00000000000000cc'))
	assert.ok(cell.isAtWork())
})

test('a step of a queue that has no policy any more waits for no advice', () => {
	const cell = new WaitingCell({ advice: { base: 19, each: 0.28, valid: 2000 } }).join(4)
	cell.subject.adviceDelay = () => Number.POSITIVE_INFINITY
	cell.run(1000)
	cell.submit(jobOf({ need: SMALL }))
	cell.run(500)
	assert.equal(cell.isAtWork(), false)
	cell.subject.configure({})
	assert.ok(cell.run(1000, () => cell.isAtWork()) < 1000)
})

test('a job keeps the number of attempts with which it was accepted', () => {
	for (const maxAttempts of [1, 5]) {
		const cell = movableCell()
		cell.submit(jobOf({ need: SMALL }))
		cell.start()
		cell.subject.configure({ maxAttempts })
		cell.worker(OLD_WORKER).end(TASK, 'failed')
		cell.run(2000)
		assert.equal(cell.subject.state.jobs.find(ID)?.state, JobState.Running)
		cell.worker(OLD_WORKER).end(TASK, 'failed')
		cell.run(1000)
		assert.equal(cell.subject.state.jobs.find(ID)?.state, JobState.Failed)
	}
})

// Guards against capacity that stays claimed: a claim was released under another service or priority
// than it was made with.
test('all capacity is free again after queues have changed under runs', () => {
	const cell = movableCell()
	for (const change of [{ priority: 5 }, MOVED, { ...MOVED, priority: 0 }, {}]) {
		const id = `00000000000000c${cell.subject.state.jobs.size}`
		cell.submit(jobOf({ need: SMALL, lasting: true }), id)
		cell.start(`${id}.0.0.0`, 100)
		cell.subject.configure(change, { name: 'other', prefix: '/other/', priority: 3 })
		cell.run(500)
	}
	for (const { id } of [...cell.subject.state.jobs.all()])
		cell.subject.call({ kind: 'cancel', to: { id } })
	cell.run(3000)
	for (const id of cell.up) {
		const { free, capacity, urgentCpu } = cell.subject.ledger.find(id)!
		assert.deepEqual({ free, urgentCpu }, { free: capacity, urgentCpu: 0 }, id)
	}
})

test('a snapshot of an earlier release is read with the queues in force', () => {
	const cell = movableCell()
	cell.submit(jobOf({ need: SMALL, lasting: true }))
	cell.subject.configure(MOVED)
	const { state } = cell.subject
	const kept = JSON.parse(Buffer.from(state.snapshot()).toString()) as {
		jobs: { queue: Queue }[]
	}
	kept.jobs[0].queue = QUEUE
	state.restore(Buffer.from(JSON.stringify(kept)))
	assert.equal(state.jobs.find(ID)?.queue.service, NEW_SERVICE)
})
