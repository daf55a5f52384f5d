import assert from 'node:assert/strict'
import { test } from 'node:test'
import { encodeCommands, type CellCommand } from '../commands/CellCommand'
import { jobOf, QUEUE, workerNamed } from '../testing/samples'
import { CellState } from './CellState'
import type { Change } from './Change'
import { TaskStatus } from './JobRecord'

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

test('a run begins on a worker that is there', () => {
	const { state } = stateWith(SUBMIT, JOIN, BEGIN)
	assert.equal(state.jobs.locate(`${ID}.0.0.0`)?.task.status, TaskStatus.Placed)
})

test('a run that was decided for a worker that has ended meanwhile does not begin', () => {
	const gone: CellCommand = { kind: 'gone', worker: 'w1', at: 1 }
	const { state, changes } = stateWith(SUBMIT, JOIN, gone, BEGIN)
	assert.equal(state.jobs.locate(`${ID}.0.0.0`)?.task.status, TaskStatus.Waiting)
	assert.equal(changes.at(-1)?.kind, 'run-void')
})
