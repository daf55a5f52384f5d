import assert from 'node:assert/strict'
import { test } from 'node:test'
import { WorkerOrders, type OrderResult, type StopOrder, type Worker } from '@rillrudder/jobs'
import { WakingOrders } from './WakingOrders'

const WORKER = { id: 'w1' } as Worker
const STOP: StopOrder = { task: 't', attempt: 1, fence: 1 }

/** Keeps each order pending until the test answers it. */
class OpenOrders extends WorkerOrders {
	readonly answers: ((result: OrderResult) => void)[] = []

	override start(_: Worker, __: unknown, done: (result: OrderResult) => void): void {
		this.answers.push(done)
	}

	override stop(_: Worker, __: unknown, done: (result: OrderResult) => void): void {
		this.answers.push(done)
	}

	override pace(_: Worker, __: unknown, done: (result: OrderResult) => void): void {
		this.answers.push(done)
	}

	override poll(): void {
		assert.fail('no poll is sent')
	}
}

test('an answer wakes the controller, and no answer reaches it after the end of its leadership', () => {
	const open = new OpenOrders()
	let heard = 0
	let woken = 0
	const orders = new WakingOrders(open, () => (woken += 1))
	orders.stop(WORKER, STOP, () => (heard += 1))
	orders.stop(WORKER, STOP, () => (heard += 1))
	open.answers[0]({ kind: 'done' })
	assert.deepEqual([heard, woken], [1, 1])
	orders.end()
	open.answers[1]({ kind: 'unknown', message: 'no answer' })
	assert.deepEqual([heard, woken], [1, 1])
})
