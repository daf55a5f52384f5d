import assert from 'node:assert/strict'
import { test } from 'node:test'
import { COMMAND_VERSION, encodeCommands, type CellCommand } from '../commands/CellCommand'
import { jobOf, QUEUE, workerNamed } from '../testing/samples'
import { CellState, SNAPSHOT_VERSION } from './CellState'
import { RunEnd } from '../records/Job'
import type { Change } from './Change'
import { TaskStatus } from './JobRecord'
import { CrashEvidence, Suspicion, suspicionOf } from './TaskCrashes'

const ID = '00000000000000aa'
const BEGIN: CellCommand = {
	kind: 'begin',
	runs: [{ task: `${ID}.0.0.0`, attempt: 1, worker: 'w1' }],
}

function stateWith(...commands: CellCommand[]): { state: CellState; changes: Change[] } {
	const state = new CellState()
	const changes: Change[] = []
	state.observer = (change) => void changes.push(change)
	state.apply(encodeCommands(commands))
	return { state, changes }
}

const SUBMIT: CellCommand = { kind: 'submit', id: ID, queue: QUEUE, job: jobOf({}), at: 0 }
const JOIN: CellCommand = { kind: 'worker', worker: workerNamed('w1') }

test('a run starts on a known worker', () => {
	const { state } = stateWith(SUBMIT, JOIN, BEGIN)
	assert.equal(state.jobs.locate(`${ID}.0.0.0`)?.task.status, TaskStatus.Placed)
})

test('a run on a worker that was removed in the meantime does not start', () => {
	const gone: CellCommand = { kind: 'gone', worker: 'w1', at: 1 }
	const { state, changes } = stateWith(SUBMIT, JOIN, gone, BEGIN)
	assert.equal(state.jobs.locate(`${ID}.0.0.0`)?.task.status, TaskStatus.Waiting)
	assert.equal(changes.at(-1)?.kind, 'run-void')
})

const TASK = `${ID}.0.0.0`
const { Strong } = CrashEvidence

function lost(attempt: number): CellCommand {
	const run = { task: TASK, attempt, how: RunEnd.Lost, checkpoint: '', evidence: Strong }
	return { kind: 'end', runs: [run], at: 1 }
}

function suspicionIn(state: CellState): Suspicion {
	return suspicionOf(state.jobs.locate(TASK)!.task)
}

test('a crash that is reported late counts against the task whose run was abandoned on that worker', () => {
	const { state } = stateWith(SUBMIT, JOIN, BEGIN, lost(1))
	const again = new CellState()
	again.restore(state.snapshot())
	const gone: CellCommand = { kind: 'gone', worker: 'w1', at: 2, crash: {} }
	again.apply(encodeCommands([gone, gone]))
	const { crashed, silent } = again.jobs.locate(TASK)!.task
	assert.deepEqual(crashed, [{ worker: 'w1', evidence: Strong }])
	assert.equal(silent, undefined)
})

test('a worker that answers again or announced its end has not crashed', () => {
	const answered: CellCommand = { kind: 'answered', worker: 'w1' }
	const left: CellCommand = { kind: 'gone', worker: 'w1', at: 2 }
	for (const end of [answered, left]) {
		const { state, changes } = stateWith(SUBMIT, JOIN, BEGIN, lost(1), end)
		assert.equal(suspicionIn(state), Suspicion.None)
		assert.ok(changes.some(({ kind }) => kind === 'task-cleared'))
	}
})

const PRESUMED: CellCommand = { kind: 'presume-crashed', workers: ['w1'], at: 9 }

test('since when a worker has been unreachable, and that it counts as crashed, are in snapshots', () => {
	const { state, changes } = stateWith(SUBMIT, JOIN, BEGIN, lost(1))
	const next = new CellState()
	next.restore(state.snapshot())
	assert.deepEqual(next.jobs.undecidedWorkers, [{ worker: 'w1', since: 1 }])
	state.apply(encodeCommands([PRESUMED, PRESUMED]))
	assert.equal(changes.filter(({ kind }) => kind === 'crash-counted').length, 1)
	next.restore(state.snapshot())
	assert.deepEqual(next.jobs.undecidedWorkers, [])
	assert.equal(suspicionIn(next), Suspicion.Isolated)
})

test('a worker that counts as crashed and turns out to have crashed counts once', () => {
	const gone: CellCommand = { kind: 'gone', worker: 'w1', at: 10, crash: {} }
	const { state, changes } = stateWith(SUBMIT, JOIN, BEGIN, lost(1), PRESUMED, gone)
	const { crashed, silent } = state.jobs.locate(TASK)!.task
	assert.deepEqual([crashed, silent], [[{ worker: 'w1', evidence: Strong }], undefined])
	assert.equal(changes.filter(({ kind }) => kind === 'crash-counted').length, 1)
})

test('a job whose task crashes its workers fails at once, also while another run of the task is running', () => {
	const commands: CellCommand[] = [SUBMIT, JOIN, BEGIN, lost(1)]
	for (const attempt of [2, 3, 4]) {
		const worker = `w${attempt}`
		commands.push({ kind: 'worker', worker: workerNamed(worker) })
		commands.push({ kind: 'begin', runs: [{ task: TASK, attempt, worker }] })
		if (attempt < 4) commands.push({ kind: 'gone', worker, at: 2, crash: { [TASK]: Strong } })
	}
	const { state, changes } = stateWith(...commands)
	assert.equal(state.jobs.find(ID)?.state, 'running')
	state.apply(encodeCommands([{ kind: 'gone', worker: 'w1', at: 3, crash: {} }]))
	assert.equal(state.jobs.find(ID)?.state, 'failed')
	assert.ok(changes.some(({ kind }) => kind === 'job-ended'))
})

test('snapshots and commands from before crashes were counted are read', () => {
	const { state } = stateWith(SUBMIT, JOIN, BEGIN)
	const snapshot = JSON.parse(Buffer.from(state.snapshot()).toString()) as { version: number }
	const older = new CellState()
	older.restore(Buffer.from(JSON.stringify({ ...snapshot, version: 1 })))
	const gone = { kind: 'gone', worker: 'w1', at: 2 }
	older.apply(Buffer.from(JSON.stringify({ version: 1, commands: [gone] })))
	assert.equal(suspicionIn(older), Suspicion.None)
	assert.equal(older.jobs.locate(TASK)!.task.status, TaskStatus.Waiting)
	assert.throws(() =>
		older.apply(Buffer.from(JSON.stringify({ version: COMMAND_VERSION + 1, commands: [] })))
	)
})

test('of two incarnations of one name that were proposed at the same time only the first is added', () => {
	const first = workerNamed('w1@5', { address: 'h:1', born: 5 })
	const second = workerNamed('w1@9', { address: 'h:1', born: 9 })
	const { state } = stateWith({ kind: 'worker', worker: first }, { kind: 'worker', worker: second })
	assert.deepEqual(
		[...state.workers.all()].map(({ worker }) => worker.id),
		['w1@5']
	)
	state.apply(encodeCommands([{ kind: 'gone', worker: 'w1@5', at: 2 }]))
	state.apply(encodeCommands([{ kind: 'worker', worker: second }]))
	assert.equal(state.workers.findByName('w1')?.worker.id, 'w1@9')
	assert.equal(state.workers.findByAddress('h:1')?.worker.id, 'w1@9')
})

test('a snapshot from before workers reported their start time is read, and its workers have none', () => {
	const { state } = stateWith(JOIN)
	const snapshot = JSON.parse(Buffer.from(state.snapshot()).toString()) as object
	const older = new CellState()
	older.restore(Buffer.from(JSON.stringify({ ...snapshot, version: 2 })))
	assert.equal(older.workers.findByName('w1')?.worker.born, undefined)
	assert.equal(older.workers.findByName('w1')?.worker.id, 'w1')
	const later = { ...snapshot, version: SNAPSHOT_VERSION + 1 }
	assert.throws(() => older.restore(Buffer.from(JSON.stringify(later))))
})

test('shares of accounts are restored from a snapshot; without them the earlier version is written', () => {
	const { state } = stateWith(JOIN)
	const versionOf = (bytes: Uint8Array): unknown =>
		(JSON.parse(Buffer.from(bytes).toString()) as { version: number }).version
	assert.equal(versionOf(state.snapshot()), 3)
	assert.equal(versionOf(encodeCommands([JOIN])), 3)
	const rooms = [{ account: 'town', service: 'checks-service', share: 0.25 }]
	const had = { at: 7, rooms, advice: [{ account: 'town', time: 900 }] }
	state.apply(encodeCommands([{ kind: 'shares', had }]))
	const next = new CellState()
	next.restore(state.snapshot())
	assert.deepEqual(next.shares, had)
	assert.equal(versionOf(state.snapshot()), SNAPSHOT_VERSION)
	assert.equal(versionOf(encodeCommands([{ kind: 'shares', had }])), 4)
	const whole = { kind: 'begin', runs: [], whole: true } as const
	assert.equal(versionOf(encodeCommands([whole])), 5)
	const atWork = { kind: 'at-work', runs: [{ task: 'a.0.0.0', attempt: 1 }] } as const
	assert.equal(versionOf(encodeCommands([atWork])), 6)
	const presumed = { kind: 'presume-crashed', workers: ['w1'], at: 7 } as const
	assert.equal(versionOf(encodeCommands([presumed])), 7)
	assert.equal(versionOf(encodeCommands([{ kind: 'begun', jobs: [ID] }])), COMMAND_VERSION)
})
