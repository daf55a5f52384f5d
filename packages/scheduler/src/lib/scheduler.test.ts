/** Properties of the ledger, the placement, worker health and lent slots. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { IntentKind } from '@rillrudder/settings'
import { Random } from '@rillrudder/utils'
import { Ledger } from './capacity/Ledger'
import { WorkerHealth } from './health/WorkerHealth'
import { Placement } from './placement/Placement'
import { WaitingReason, type Task } from './placement/Task'
import { SlotPool } from './requests/SlotPool'

const CAPACITY = { cpu: 8000, memory: 8192, accelerators: 0 }
let made = 0

function task(change: Partial<Task>): Task {
	made += 1
	return {
		id: `t${made}`,
		intent: 'i',
		team: 'team',
		kind: IntentKind.Batch,
		need: { cpu: 1000, memory: 1024, accelerators: 0 },
		urgent: false,
		runTime: 1000,
		submitted: 0,
		checkpoints: false,
		gangSize: 1,
		...change,
	}
}

function cell(workers: number) {
	const random = new Random(1)
	const ledger = new Ledger(random)
	for (let number = 0; number < workers; number++) {
		const rack = `r${Math.floor(number / 2)}`
		ledger.join({ id: `w${number}`, rack, capacity: CAPACITY, slots: 8 })
	}
	return { ledger, placement: new Placement(ledger, random) }
}

test('no worker is overcommitted, and all reservations are released, for any order of starts and ends', () => {
	const step = fc.record({
		cpu: fc.integer({ min: 1, max: 9000 }),
		memory: fc.integer({ min: 1, max: 9000 }),
		ends: fc.boolean(),
	})
	fc.assert(
		fc.property(fc.array(step, { maxLength: 80 }), (steps) => {
			const { ledger, placement } = cell(4)
			const running: string[] = []
			steps.forEach(({ cpu, memory, ends }, now) => {
				placement.submit([task({ need: { cpu, memory, accelerators: 0 } })])
				for (const decision of placement.decide(now, 20)) running.push(decision.task.id)
				const first = ends ? running.shift() : undefined
				if (first) placement.onEnded(first)
			})
			for (const id of running) placement.onEnded(id)
			for (const worker of ledger.all()) assert.deepEqual(worker.free, CAPACITY)
		}),
		{ seed: 7, numRuns: 100 }
	)
})

test('a gang starts all at once or not at all, and starts eventually', () => {
	const { placement } = cell(2)
	const small = Array.from({ length: 12 }, () => task({}))
	for (const one of small) placement.submit([one])
	placement.decide(0, 100)
	const gang = Array.from({ length: 8 }, () =>
		task({ kind: IntentKind.Gang, gangSize: 8, intent: 'gang', submitted: 0 })
	)
	placement.submit(gang)
	assert.equal(placement.decide(1000, 100).length, 0)
	assert.equal(placement.waitingReasonOf(gang[0].id), WaitingReason.Gang)
	// Small tasks keep arriving; without a hold they would take all released capacity forever.
	let started = 0
	for (let now = 31_000; now < 60_000 && started === 0; now += 1000) {
		const gone = small.shift()
		if (gone) placement.onEnded(gone.id)
		placement.submit([task({ submitted: now })])
		const decisions = placement.decide(now, 100)
		started = decisions.filter((one) => one.task.intent === 'gang').length
	}
	assert.equal(started, 8)
})

test('urgent work preempts batch work, with the least disruptive method first', () => {
	const { placement } = cell(1)
	for (let count = 0; count < 8; count++) {
		placement.submit([task({ throttleTo: count === 0 ? 100 : undefined, checkpoints: true })])
	}
	placement.decide(0, 100)
	const need = { cpu: 800, memory: 0, accelerators: 0 }
	placement.submit([task({ urgent: true, need, team: 'other' })])
	const [relief] = placement.decide(1, 100)
	assert.ok(relief.kind === 'relieve')
	assert.equal(relief.how, 'throttle')
	placement.onThrottled(relief.task.id, 100)
	const [start] = placement.decide(2, 100)
	assert.equal(start.kind, 'start')
})

test('a team at its quota waits while others start', () => {
	const { placement } = cell(2)
	placement.setTeams([
		{ name: 'small', weight: 1, quota: { cpu: 1000, memory: 9000, accelerators: 0 } },
	])
	const tasks = [1, 2, 3].map(() => task({ team: 'small' }))
	for (const one of tasks) placement.submit([one])
	placement.submit([task({ team: 'other' })])
	assert.equal(placement.decide(0, 100).length, 2)
	assert.equal(placement.waitingReasonOf(tasks[2].id), WaitingReason.Quota)
})

test('the tasks of a service are spread over workers', () => {
	const { placement } = cell(8)
	const tasks = Array.from({ length: 8 }, () => task({ kind: IntentKind.Service }))
	for (const one of tasks) placement.submit([one])
	const workers = placement.decide(0, 100).map((one) => one.worker)
	assert.equal(new Set(workers).size, 8)
})

test('a worker that fails for several customers is closed, probed and reopened', () => {
	const health = new WorkerHealth()
	for (let count = 0; count < 20; count++)
		for (const id of ['w1', 'w2', 'w3']) health.onSuccess(id, 0)
	for (let count = 0; count < 40; count++) health.onFailure('w1', `c${count % 3}`, 0)
	assert.equal(health.isOpen('w1', 1), false)
	assert.equal(health.isOpen('w1', 1_000_000), true)
	for (let count = 0; count < 3; count++) health.onSuccess('w1', 1_000_000)
	assert.equal(health.isOnProbe('w1'), false)
	assert.equal(health.closed, 0)
})

test('failures of one customer close no worker, and at most a share of the workers is closed', () => {
	const health = new WorkerHealth()
	for (let count = 0; count < 50; count++) health.onFailure('w1', 'one customer', 0)
	assert.equal(health.isOpen('w1', 1), true)
	const workers = Array.from({ length: 10 }, (_, number) => `x${number}`)
	for (const id of workers) for (let count = 0; count < 30; count++) health.onSuccess(id, 0)
	for (let round = 0; round < 40; round++) {
		for (const id of workers.slice(0, 6)) health.onFailure(id, `c${round % 4}`, 0)
	}
	const closed = workers.filter((id) => !health.isOpen(id, 1))
	assert.ok(closed.length <= 2)
})

test('slots in use are held until they are released, even if fewer slots are lent', () => {
	const pool = new SlotPool(new Random(1))
	const lent = (slots: number) => [{ worker: 'w1', address: 'a', slots }]
	pool.update(lent(2))
	const taken = [pool.acquire(), pool.acquire()]
	assert.ok(taken.every((slot) => slot?.worker === 'w1'))
	assert.equal(pool.acquire(), undefined)
	pool.update(lent(0))
	assert.deepEqual(
		pool.held().map((one) => one.slots),
		[2]
	)
	pool.release('w1', 5)
	assert.equal(pool.acquire(), undefined)
	pool.release('w1', 5)
	assert.deepEqual(pool.held(), [])
})

test('a worker that has refused work gets none until it is dropped and lent again', () => {
	const pool = new SlotPool(new Random(1))
	pool.update([{ worker: 'w1', address: 'a', slots: 2 }])
	pool.close('w1')
	pool.update([{ worker: 'w1', address: 'a', slots: 2 }])
	assert.equal(pool.acquire(), undefined)
	pool.update([])
	pool.update([{ worker: 'w1', address: 'a', slots: 2 }])
	assert.equal(pool.acquire()?.worker, 'w1')
})
