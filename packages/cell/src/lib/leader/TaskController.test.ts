/** What becomes of tasks of intents whose workers are lost again and again. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Random } from '@rillrudder/utils'
import { DEFAULT_CONFIGURATION, IntentKind } from '@rillrudder/settings'
import { encodeDataCentreCommand, type DataCentreCommand } from '../commands/DataCentreCommand'
import { DataCentreState } from '../state/DataCentreState'
import { Effects } from './Effects'
import { TaskController } from './TaskController'

const OPERATOR = { operator: 'ana', request: 'r1', at: 0 }
const CLERKS = {
	name: 'clerks',
	weight: 1,
	quota: { cpu: 100_000, memory: 100_000, accelerators: 0 },
}
/** Milliseconds between two readings of the leader's clockwork. */
const STEP = 1000

/** A leader whose workers answer no exchange, as those do not that a task crashes at once. */
class Subject {
	readonly effects = new Effects()
	readonly state = new DataCentreState(() => undefined)
	placements = 0
	private controller = this.lead()
	private index = 0
	private now = 0

	constructor() {
		for (let number = 0; number < 40; number++) this.join(`w${number}`)
		const intent = { name: 'tally', team: 'clerks', kind: IntentKind.Batch, tasks: 1 }
		const each = { cpu: 1000, memory: 512, accelerators: 0 }
		const { ground } = this.state
		const plan = { id: 'p1', ground, steps: [], impossible: [], ...OPERATOR }
		const rest = { each, urgent: false, checkpoints: false, command: ['run'] }
		this.apply({ kind: 'plan', intent: { ...intent, ...rest }, ...plan })
		this.apply({ kind: 'confirm', plan: 'p1', verified: ground, ...OPERATOR, request: 'r2' })
		this.controller.onConfirmed([...this.state.tasks.all()])
	}

	/** Lets time pass; with `change` another replica leads once in the middle. */
	run(span: number, change = false): void {
		for (let spent = 0; spent < span; spent += STEP) {
			this.now += STEP
			if (change && spent === span / 2) this.controller = this.lead()
			this.controller.tick({ now: this.now, at: this.now, term: 1 })
			for (const command of this.effects.take().commands) this.carryOut(command)
		}
	}

	private lead(): TaskController {
		const configuration = () => ({ ...DEFAULT_CONFIGURATION, teams: [CLERKS] })
		const controller = new TaskController(this.state, this.effects, new Random(1), configuration)
		controller.takeOver({ now: this.now ?? 0, at: this.now ?? 0, term: 1 })
		return controller
	}

	private join(id: string): void {
		const capacity = { cpu: 4000, memory: 4096, accelerators: 0 }
		const rest = { rack: 'r1', capacity, slots: 2, state: 'live', reason: '', at: 0 } as const
		this.apply({ kind: 'worker', id, address: `${id}:1`, ...rest })
		this.controller.onWorkerChanged(id)
	}

	private carryOut(command: DataCentreCommand): void {
		this.apply(command)
		if (command.kind === 'place') {
			this.placements += 1
			this.controller.onPlaced(command, true)
		}
		if (command.kind === 'unplace') this.controller.onUnplaced(command)
	}

	private apply(command: DataCentreCommand): void {
		this.state.apply(encodeDataCentreCommand(command), ++this.index)
	}
}

test('a task whose workers are lost again and again begins ever more seldom', () => {
	const subject = new Subject()
	subject.run(600_000)
	assert.ok(subject.placements <= 8, `${subject.placements} placements`)
	assert.ok(subject.placements >= 5, `${subject.placements} placements`)
})

test('how often its workers were lost outlives the leader', () => {
	const subject = new Subject()
	subject.run(600_000, true)
	assert.ok(subject.placements <= 9, `${subject.placements} placements`)
})

test('a first loss costs no wait', () => {
	const subject = new Subject()
	subject.run(22_000)
	assert.equal(subject.placements, 2)
})
