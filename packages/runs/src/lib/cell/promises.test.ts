/**
 * What must always hold, shown twice: a whole-cell run under faults holds it, and the same run fails
 * once the mechanism that it rests on is taken out.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import {
	internalClass as part,
	withPatchedMethods as broken,
	type MethodPatch,
} from '../testing/withPatchedMethods'
import { CellRun, type CellRunOptions } from './CellRun'

const LEDGER = () => part('@rillrudder/scheduler/dist/lib/capacity/Ledger', 'Ledger')
const WORKER_TABLE = () => part('@rillrudder/cell/dist/lib/state/WorkerTable', 'WorkerTable')
const REQUEST_DESK = () =>
	part('@rillrudder/cell/dist/lib/leader/RequestController', 'RequestController')
const WORKER_DESK = () =>
	part('@rillrudder/cell/dist/lib/leader/WorkerController', 'WorkerController')
const WORKER_LEASES = () => part('@rillrudder/cell/dist/lib/leader/WorkerLeases', 'WorkerLeases')
const HOLDER = () =>
	part('@rillrudder/cell/dist/lib/configuration/ConfigurationHolder', 'ConfigurationHolder')
const RELAY = () =>
	part('@rillrudder/cell/dist/lib/configuration/ConfigurationRelay', 'ConfigurationRelay')
const INTAKE_HOME = () => part('@rillrudder/intake/dist/lib/HomeForwarder', 'HomeForwarder')
const SLOT_POOL = () => part('@rillrudder/scheduler/dist/lib/requests/SlotPool', 'SlotPool')

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12]
const OPTIONS: Omit<CellRunOptions, 'seed'> = { faultRate: 1.5, requestRate: 40 }

function runOnce(seed: number): void {
	const run = new CellRun({ ...OPTIONS, seed })
	run.run(12_000)
	run.settle()
}

/** @returns what the first seed that fails says, or an empty text when none does. */
function firstFailure(): string {
	for (const seed of SEEDS) {
		try {
			runOnce(seed)
		} catch (fault) {
			return (fault as Error).message
		}
	}
	return ''
}

/** @returns what the first seed that fails says while some methods are replaced. */
function withBroken(changes: readonly MethodPatch[]): string {
	return broken(changes, firstFailure)
}

test('all promises hold under faults of every kind', () => {
	for (const seed of SEEDS.slice(0, 6)) runOnce(seed)
})

test('fails when reservations are not checked: no worker is given more than it has', () => {
	const failure = withBroken([
		[
			LEDGER(),
			'candidates',
			() =>
				function (this: unknown) {
					return [...(this as { all(): Iterable<unknown> }).all()].slice(0, 1)
				},
		],
		[LEDGER(), 'reserve', () => () => true],
		[LEDGER(), 'release', () => () => undefined],
		[WORKER_TABLE(), 'reserve', () => () => true],
		[WORKER_TABLE(), 'release', () => () => undefined],
	])
	assert.match(failure, /no worker is given more than it has/)
})

test('fails when leases are not waited out: a task never runs in two places', () => {
	const failure = withBroken([
		[
			WORKER_LEASES(),
			'expired',
			() =>
				function (this: unknown, now: unknown) {
					const { leases } = this as {
						leases: Map<string, { renewedAt: number; placed: Map<string, unknown> }>
					}
					return [...leases.values()].flatMap((lease) =>
						Number(now) - lease.renewedAt > 2000 ? [...lease.placed.values()] : []
					)
				},
		],
	])
	assert.match(failure, /a task never runs in two places/)
})

test('fails when a started attempt is taken back unasked: at most once', () => {
	const failure = withBroken([
		[
			REQUEST_DESK(),
			'reconcile',
			() =>
				function (this: unknown, _from: unknown, _submit: unknown, record: unknown) {
					;(this as { unstart(record: unknown): void }).unstart(record)
				},
		],
	])
	assert.match(failure, /runs at most once/)
})

test('fails when an unreachable home counts as certainty: not run is true', () => {
	const failure = withBroken([
		[
			INTAKE_HOME(),
			'refuseAll',
			() =>
				function (this: unknown, submission: unknown, problem: unknown) {
					const { callers } = submission as { callers: { refuse(...said: unknown[]): void }[] }
					for (const caller of callers) caller.refuse('not-run', problem, 1000)
					callers.length = 0
				},
		],
	])
	assert.match(failure, /when it is said that it was not run, it was not run/)
})

test('fails when answers go to whoever waits: the whole answer to its own request', () => {
	const failure = withBroken([
		[
			INTAKE_HOME(),
			'onVerdict',
			(original) =>
				function (this: unknown, verdict: unknown) {
					const { submissions } = this as { submissions: Map<string, { first: object }> }
					const [first] = submissions.values()
					const { customer, key } = (first?.first ?? verdict) as { customer: string; key: string }
					return original.call(this, { ...(verdict as object), customer, key })
				},
		],
	])
	assert.match(failure, /a caller gets the whole answer to its own request/)
})

test('fails when refusals and the list are not heeded: a leaving worker gets no new work', () => {
	const failure = withBroken([
		[WORKER_DESK(), 'onLeaving', () => () => undefined],
		[
			WORKER_DESK(),
			'onWorkerList',
			(original) =>
				function (this: unknown, workers: unknown, moment: unknown) {
					const live = (workers as object[]).map((worker) => ({ ...worker, state: 'live' }))
					return original.call(this, live, moment)
				},
		],
		[SLOT_POOL(), 'close', () => () => undefined],
	])
	assert.match(failure, /a leaving worker gets no new work after seconds/)
})

test('fails when a stop does not wait: a planned stop cuts off no request in flight', () => {
	const entry = part('@rillrudder/runs/dist/lib/cell/RunEntry', 'RunEntry')
	const idle = Object.getOwnPropertyDescriptor(entry.prototype, 'idle') as PropertyDescriptor
	Object.defineProperty(entry.prototype, 'idle', { configurable: true, get: () => true })
	try {
		assert.match(firstFailure(), /a planned stop cuts off no request in flight/)
	} finally {
		Object.defineProperty(entry.prototype, 'idle', idle)
	}
})

test('fails when any offer is installed: a revision is never lower', () => {
	const failure = withBroken([
		[
			HOLDER(),
			'install',
			() =>
				function (this: unknown, offered: unknown) {
					;(this as { show(offered: unknown): void }).show(offered)
				},
		],
	])
	assert.match(failure, /a revision is never lower/)
})

test('fails when offers are not repeated: in force everywhere within seconds', () => {
	const failure = withBroken([
		[RELAY(), 'offerToAll', () => () => undefined],
		[RELAY(), 'offer', () => () => undefined],
	])
	assert.match(failure, /in force everywhere within seconds/)
})
