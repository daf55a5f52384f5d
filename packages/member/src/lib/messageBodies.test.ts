/** Malformed messages never throw, and a call whose handler throws does not end the process. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { CellCall, CellReply } from '@rillrudder/jobs'
import { Log, Meter } from '@rillrudder/telemetry'
import { ManualClock } from '@rillrudder/utils'
import fc from 'fast-check'
import { CallFaults } from './CallFaults'
import { decodeOrders, decodeResults } from './carriers/CarriedOrder'
import { decodeCall, decodeReply } from './messageBodies'

/** Runs of each property, with a fixed seed. */
const TRIES = { numRuns: 300, seed: 33 }
const ORDER = {
	id: 1,
	worker: { id: 'w1', address: 'h:1', dataCentre: 'vake' },
	body: { kind: 'poll', order: { fence: 1, endsSeen: 0, wait: 0 } },
}

const bytes = (value: unknown): Buffer => Buffer.from(JSON.stringify(value) ?? '')

test('no bytes make a message decoder throw', () => {
	const bodies = fc.oneof(
		fc.uint8Array({ maxLength: 100 }).map((some) => Buffer.from(some)),
		fc.json().map((text) => Buffer.from(text)),
		fc.array(fc.anything()).map((rows) => bytes(rows.map((row) => [ORDER, row])))
	)
	const neverThrows = fc.property(bodies, (body) => {
		for (const decode of [decodeCall, decodeReply, decodeOrders, decodeResults]) decode(body)
	})
	fc.assert(neverThrows, TRIES)
})

test('malformed calls and replies decode to undefined, and a bad row of a batch does not affect the others', () => {
	assert.equal(decodeCall(bytes({ kind: 'melt' })), undefined)
	assert.equal(decodeCall(bytes(null)), undefined)
	assert.equal(decodeCall(bytes({ kind: 'read-configuration' }))?.kind, 'read-configuration')
	assert.equal(decodeReply(bytes(7)), undefined)
	const strange = [null, 7, {}, { ...ORDER, worker: null }, { ...ORDER, body: { kind: 'melt' } }]
	assert.deepEqual(decodeOrders(bytes([...strange, ORDER])), [ORDER])
	const result = { id: 3, result: { kind: 'not-carried' } }
	assert.deepEqual(decodeResults(bytes([null, { id: 4 }, result])), [result])
})

test('a call whose handler throws is answered, and is not handled again when it is repeated', () => {
	const silent = (): void => undefined
	const clock = new ManualClock()
	const faults = new CallFaults(clock, new Log('test', clock, 'silent', silent), new Meter())
	const call: CellCall = { kind: 'cancel', to: { id: 'x' } }
	const replies: CellReply['kind'][] = []
	let handled = 0
	const again = (asked: CellCall, fails: boolean): void =>
		faults.handle(
			asked,
			({ kind }) => replies.push(kind),
			() => {
				handled += 1
				if (fails) throw new Error('a fault')
			}
		)
	again(call, true)
	again({ kind: 'cancel', to: { id: 'x' } }, true)
	again({ kind: 'cancel', to: { id: 'y' } }, false)
	assert.deepEqual(replies, ['unknown', 'unknown'])
	assert.equal(handled, 2)
})

test('a submission whose handler throws is not handled again under another call id', () => {
	const clock = new ManualClock()
	const faults = new CallFaults(
		clock,
		new Log('test', clock, 'silent', () => undefined),
		new Meter()
	)
	const job = { spec: '', steps: [] }
	const submission = (number: number): CellCall => {
		const call = { instance: 'entry', number }
		return { kind: 'submit', to: { queue: 'checks', id: 'x' }, job, call }
	}
	let handled = 0
	const fail = (): void => {
		handled += 1
		throw new Error('a fault')
	}
	faults.handle(submission(1), () => undefined, fail)
	faults.handle(submission(2), () => undefined, fail)
	assert.equal(handled, 1)
})
