/** Workers that are closed because they fail what they start, and how they return. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { WorkerHealth } from './WorkerHealth'

const CLOSED_AT = 1000
const FIRST_BACKOFF_MS = 5000

/** @returns the health of workers of which `w1` was just closed. */
function withClosed(): WorkerHealth {
	const health = new WorkerHealth()
	for (let count = 0; count < 20; count++) for (const id of ['w2', 'w3']) health.onSuccess(id, 0)
	for (let count = 0; health.isOpen('w1', CLOSED_AT); count++)
		health.onFailure('w1', `c${count % 2}`, CLOSED_AT, 0)
	return health
}

// Guards against a time that is doubled by each of many runs that failed at one moment.
test('failures of work that was started before a worker was closed are one event', () => {
	for (const startedAt of [0, undefined]) {
		const health = withClosed()
		for (let count = 0; count < 8; count++)
			assert.equal(health.onFailure('w1', `c${count}`, CLOSED_AT + 100, startedAt), undefined)
		assert.equal(health.isOpen('w1', CLOSED_AT + FIRST_BACKOFF_MS), true)
	}
})

test('work that was started before a worker was closed does not reopen it', () => {
	const health = withClosed()
	for (let count = 0; count < 8; count++) health.onSuccess('w1', CLOSED_AT + 100, 0)
	assert.equal(health.isOpen('w1', CLOSED_AT + 200), false)
	assert.equal(health.isOnProbe('w1'), true)
})

test('a closed worker gets one probe, and more as these succeed', () => {
	const health = withClosed()
	const now = CLOSED_AT + FIRST_BACKOFF_MS
	for (const [round, allowed] of [1, 2].entries()) {
		for (let number = 0; number < allowed; number++) {
			assert.equal(health.isOpen('w1', now), true)
			health.onStart('w1', `run-${round}-${number}`)
		}
		assert.equal(health.isOpen('w1', now), false)
		for (let number = 0; number < allowed; number++) {
			health.onProbeOver('w1', `run-${round}-${number}`)
			health.onSuccess('w1', now, now)
		}
	}
	assert.equal(health.isOnProbe('w1'), false)
	assert.equal(health.closed, 0)
})

// Guards against one customer whose work fails everywhere and keeps a sound worker closed for others.
test('probes that fail for one customer only do not make the next pause longer', () => {
	const health = withClosed()
	let now = CLOSED_AT + FIRST_BACKOFF_MS
	const first = health.onFailure('w1', 'one customer', now, now)!
	for (let round = 0; round < 8; round++) {
		now += first
		assert.equal(health.isOpen('w1', now), true)
		assert.equal(health.onFailure('w1', 'one customer', now, now), first)
	}
	now += first
	assert.equal(health.onFailure('w1', 'another one', now, now), 2 * first)
})

test('work that no open worker can run probes a closed one early, lasting tasks earlier', () => {
	const health = withClosed()
	let now = CLOSED_AT
	for (let round = 0; round < 5; round++) {
		now += 1_000_000
		health.onFailure('w1', `c${round}`, now, now)
	}
	assert.equal(health.isOpen('w1', now + 100_000), false)
	assert.equal(health.canProbe('w1', now + 2999, true), false)
	assert.equal(health.canProbe('w1', now + 3000, true), true)
	assert.equal(health.canProbe('w1', now + 9999, false), false)
	assert.equal(health.canProbe('w1', now + 10_000, false), true)
	health.onStart('w1', 'run-1')
	assert.equal(health.canProbe('w1', now + 10_000, false), false)
	assert.equal(health.canProbe('w2', now, true), false)
})
