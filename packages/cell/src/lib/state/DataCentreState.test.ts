/** Guards against commands that break the invariants of the replicated state when they are applied. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import {
	DATA_CENTRE_COMMAND_VERSION,
	decodeDataCentreCommand,
	encodeDataCentreCommand,
	type DataCentreCommand,
} from '../commands/DataCentreCommand'
import { DataCentreState, type AppliedCommand } from './DataCentreState'
import { RequestPhase } from './RequestTable'

const WORKER = {
	kind: 'worker',
	id: 'w1',
	address: '127.0.0.1:1',
	rack: 'r1',
	capacity: { cpu: 4000, memory: 4096, accelerators: 0 },
	slots: 2,
	state: 'live',
	reason: '',
	at: 1,
} as const

/** @returns the state after the commands, and whether each of them had an effect. */
function applyAll(commands: readonly DataCentreCommand[]) {
	const applied: AppliedCommand[] = []
	const state = new DataCentreState((one) => applied.push(one))
	commands.forEach((command, index) => state.apply(encodeDataCentreCommand(command), index + 1))
	return { state, hadEffect: applied.map((one) => one.hasEffect) }
}

const name = (key: string) => ({ customer: 'batumi', key })
const admit = (key: string) =>
	({ kind: 'admit', ...name(key), digest: 'd', holder: 'h', timeout: 1000, at: 1 }) as const
const start = (key: string, attempt = 1) =>
	({ kind: 'start', ...name(key), attempt, worker: 'w1', holder: 'h' }) as const
const finish = (key: string, outcome: 'ran' | 'not-run') =>
	({ kind: 'finish', ...name(key), outcome, at: 2 }) as const

test('a customer is served in the order of admission, one at a time', () => {
	const { hadEffect } = applyAll([
		WORKER,
		admit('a'),
		admit('b'),
		start('b'),
		start('a'),
		start('b'),
		finish('a', 'ran'),
		start('b'),
	])
	assert.deepEqual(hadEffect.slice(3), [false, true, false, true, true])
})

test('a started request is never finished as not run, and a finished one never again', () => {
	const { state, hadEffect } = applyAll([
		WORKER,
		admit('a'),
		start('a'),
		finish('a', 'not-run'),
		finish('a', 'ran'),
		finish('a', 'not-run'),
	])
	assert.deepEqual(hadEffect.slice(3), [false, true, false])
	assert.equal(state.requests.find('batumi', 'a')?.outcome, 'ran')
})

test('an attempt is started once; only a reverted one is followed by another', () => {
	const unstart = { kind: 'unstart', ...name('a'), attempt: 1 } as const
	const { hadEffect } = applyAll([
		WORKER,
		admit('a'),
		start('a'),
		start('a', 2),
		unstart,
		start('a', 2),
	])
	assert.deepEqual(hadEffect.slice(2), [true, false, true, true])
})

test('a parked request is admitted again and its attempt number continues', () => {
	const { state, hadEffect } = applyAll([
		WORKER,
		admit('a'),
		start('a'),
		{ kind: 'unstart', ...name('a'), attempt: 1 },
		{ kind: 'park', ...name('a'), at: 2 },
		start('a', 2),
		admit('a'),
		start('a', 1),
		start('a', 2),
	])
	assert.deepEqual(hadEffect.slice(4), [true, false, true, false, true])
	assert.equal(state.requests.find('batumi', 'a')?.phase, RequestPhase.Started)
})

test('lent and taken slots together never exceed the slots of a worker', () => {
	const lend = (holder: string, slots: number): DataCentreCommand => ({
		kind: 'lend',
		holder,
		slots: [{ worker: 'w1', slots }],
	})
	const { hadEffect } = applyAll([
		WORKER,
		lend('e1', 1),
		lend('e2', 2),
		admit('a'),
		start('a'),
		lend('e2', 1),
	])
	assert.deepEqual(hadEffect.slice(1), [true, false, true, true, false])
})

test('a home that was closed for a revision opens only for a later one', () => {
	const close = (revision: number) =>
		({
			kind: 'close-home',
			operator: 'system',
			request: `r${revision}`,
			at: 1,
			customer: 'batumi',
			to: 'vake',
			revision,
		}) as const
	const open = (revision: number): DataCentreCommand => ({
		kind: 'open-home',
		customer: 'batumi',
		revision,
		without: [],
		records: [],
		at: 1,
	})
	const { hadEffect } = applyAll([
		close(3),
		open(2),
		open(3),
		admit('a'),
		open(4),
		close(4),
		admit('a'),
	])
	assert.deepEqual(hadEffect, [true, false, false, false, true, false, true])
})

test('a resent operator command gets the first answer and is audited once', () => {
	const drain = { kind: 'drain', operator: 'nino', request: 'r1', at: 5, worker: 'w1' } as const
	const { state } = applyAll([WORKER, drain, drain])
	assert.equal(state.audit.select({ who: 'nino' }).length, 1)
	assert.equal(state.workers.find('w1')?.state, 'leaving')
})

test('restoring a snapshot reproduces the state', () => {
	const { state } = applyAll([WORKER, admit('a'), start('a'), finish('a', 'ran'), admit('b')])
	const other = new DataCentreState()
	other.restore(state.snapshot())
	assert.deepEqual(other.snapshot(), state.snapshot())
	assert.equal(other.requests.head('batumi')?.key, 'b')
})

test('a command of an earlier version is migrated, one of a later version is refused', () => {
	const { reason, ...old } = WORKER
	const first = Buffer.from(JSON.stringify({ version: 1, ...old }))
	assert.deepEqual(decodeDataCentreCommand(first), { ...old, reason })
	const later = { version: DATA_CENTRE_COMMAND_VERSION + 1, ...WORKER }
	const bytes = Buffer.from(JSON.stringify(later))
	assert.throws(() => decodeDataCentreCommand(bytes), { name: 'RecordInvalid' })
})

test('an invalid command is not encoded for the log', () => {
	const wrong = { ...WORKER, slots: -1 } as unknown as DataCentreCommand
	assert.throws(() => encodeDataCentreCommand(wrong), { name: 'RecordInvalid' })
})
