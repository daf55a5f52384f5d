/** Which ends of workers count against which of the tasks that ran there. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { CrashEvidence } from '../../state/TaskCrashes'
import { crashEvidence, hidesSurvival } from './crashEvidence'
import { LossWaves } from './LossWaves'
import { STEP, workerNamed } from '../../testing/samples'
import { DEFAULT_LEADER_TIMING } from '../LeaderTiming'
import { Lease } from './Lease'
import type { Run } from '../runs/Run'
import { ObservedRunTime } from '../runs/ObservedRunTime'
import { WorkerView } from './WorkerView'

const { Strong, Doubtful, Weak } = CrashEvidence

/** @returns what its worker's clock tells of a run that was at work for a span, in milliseconds. */
function atWorkFor(span: number): ObservedRunTime {
	const time = new ObservedRunTime()
	time.onConfirmed(7000)
	time.onListed(7000 + span)
	return time
}

const RUN = {
	isOrdered: true,
	isOrderPending: false,
	isInDoubt: false,
	confirmedAt: 1000,
	observedTime: atWorkFor(0),
	isRestored: false,
	seenAtWork: false,
	step: STEP,
}
const UNCONFIRMED = { ...RUN, confirmedAt: undefined }
const VIEW = { draining: false, left: false }
const LASTING = { ...STEP, lasting: true }

interface Case {
	readonly what: string
	readonly run?: Partial<typeof RUN> | typeof UNCONFIRMED
	readonly view?: Partial<typeof VIEW>
	readonly inWave?: boolean
	readonly expected: CrashEvidence | undefined
}

const CASES: readonly Case[] = [
	{ what: 'it had just begun', expected: Strong },
	{ what: 'it was listed just after', run: { observedTime: atWorkFor(200) }, expected: Strong },
	{ what: 'it was at work for a while', run: { observedTime: atWorkFor(201) }, expected: Weak },
	{ what: 'it was never ordered', run: { isOrdered: false }, expected: undefined },
	{
		what: 'its only order was refused, or answered by the next life',
		run: UNCONFIRMED,
		expected: undefined,
	},
	{
		what: 'its order is under way',
		run: { ...UNCONFIRMED, isOrderPending: true },
		expected: Doubtful,
	},
	{ what: 'an order got no answer', run: { ...UNCONFIRMED, isInDoubt: true }, expected: Doubtful },
	{ what: 'an earlier leader began it', run: { isRestored: true }, expected: Doubtful },
	{
		what: 'an earlier leader saw it at work, and this one has heard nothing of it',
		run: { ...UNCONFIRMED, isRestored: true, seenAtWork: true },
		expected: Weak,
	},
	{
		what: 'an earlier leader saw it at work',
		run: { isRestored: true, seenAtWork: true },
		expected: Weak,
	},
	{ what: 'its worker was leaving', view: { draining: true }, expected: Doubtful },
	{ what: 'other workers fell silent too', inWave: true, expected: Doubtful },
	{ what: 'it lasts, and had just begun', run: { step: LASTING }, expected: Strong },
	{
		what: 'it lasts, and was at work for long',
		run: { step: LASTING, observedTime: atWorkFor(5001) },
		expected: undefined,
	},
]

for (const { what, run, view, inWave = false, expected } of CASES) {
	test(`the end of a worker where ${what} says ${expected ?? 'nothing'} of a run`, () => {
		assert.equal(crashEvidence({ ...RUN, ...run }, { ...VIEW, ...view }, inWave), expected)
	})
}

function viewOf(id: string, lostAt = 0): WorkerView {
	const view = new WorkerView(workerNamed(id), new Lease(DEFAULT_LEADER_TIMING, 0), 1, 0)
	view.lostAt = lostAt
	return view
}

test('three workers of a service that fall silent within a quarter of a second are a wave', () => {
	const waves = new LossWaves()
	const views = [viewOf('w1', 1000), viewOf('w2', 1100), viewOf('w3', 1240), viewOf('w4', 2000)]
	for (const view of views) waves.lost(view)
	assert.deepEqual(
		views.map((view) => waves.includes(view, 33)),
		[true, true, true, false]
	)
})

test('a worker is asked once a suspected task has begun there and no answer tells that it lives on', () => {
	const view = viewOf('w1')
	const atWork = atWorkFor(0)
	view.runs.set('task', { isSuspected: true, confirmedAt: 1000, observedTime: atWork } as Run)
	assert.equal(hidesSurvival(view, 1100), false)
	assert.equal(hidesSurvival(view, 1300), true)
	// Any other answer may have been made before the worker crashed.
	view.answeredAt = 1300
	assert.equal(hidesSurvival(view, 1400), true)
	atWork.onListed(7300)
	assert.equal(hidesSurvival(view, 1400), false)
})

test('where workers are lost all the time, a loss counts as one of a wave, however few came together', () => {
	const workers = 12
	const lostEvery = (period: number): WorkerView[] =>
		Array.from({ length: 8 }, (_, loss) => viewOf(`w${loss}`, loss * period))
	const often = new LossWaves()
	const views = lostEvery(600)
	for (const view of views) often.lost(view)
	assert.ok(often.includes(views[7], workers))
	const seldom = new LossWaves()
	const others = lostEvery(2000)
	for (const view of others) seldom.lost(view)
	assert.ok(!seldom.includes(others[7], workers))
	assert.ok(!often.includes(views[7], 33))
})
