import assert from 'node:assert/strict'
import { test } from 'node:test'
import { QUEUE, STEP } from '../testing/samples'
import { Precedence } from './Precedence'

const HIGH = { ...QUEUE, service: 'accelerators', priority: 1 }
const LOW = { ...QUEUE, service: 'accelerators', priority: 2 }
const ELSEWHERE = { ...QUEUE, service: 'others', priority: 0 }

test('the highest priority seen at a service is urgent, whatever its number', () => {
	const precedence = new Precedence()
	for (const queue of [HIGH, LOW, ELSEWHERE]) precedence.recordQueue(queue, 0)
	assert.deepEqual(precedence.precedenceOf(HIGH, STEP, 0), { urgent: true, yields: false })
	assert.deepEqual(precedence.precedenceOf(LOW, STEP, 0), { urgent: false, yields: true })
})

test('a priority that is no longer seen stops counting, and the next one becomes urgent', () => {
	const precedence = new Precedence()
	precedence.recordQueue(HIGH, 0)
	precedence.recordQueue(LOW, 100_000)
	assert.deepEqual(precedence.precedenceOf(LOW, STEP, 100_000), { urgent: true, yields: false })
})

test('lasting work does not yield, and best-effort work is never urgent', () => {
	const precedence = new Precedence()
	precedence.recordQueue(HIGH, 0)
	const lasting = precedence.precedenceOf(LOW, { ...STEP, lasting: true }, 0)
	assert.deepEqual(lasting, { urgent: false, yields: false })
	assert.equal(precedence.precedenceOf(HIGH, { ...STEP, bestEffort: true }, 0).urgent, false)
})
