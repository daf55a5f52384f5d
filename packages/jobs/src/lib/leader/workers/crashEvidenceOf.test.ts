/** Which ends of workers count against which of the tasks that ran there. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { CrashEvidence } from '../../state/TaskCrashes'
import { crashEvidenceOf, hasUnconfirmedSurvival } from './crashEvidenceOf'
import { CorrelatedLosses } from './CorrelatedLosses'
import { STEP, workerNamed } from '../../testing/samples'
import { DEFAULT_LEADER_TIMING } from '../LeaderTiming'
import { Lease } from './Lease'
import type { Run } from '../runs/Run'
import { TimeAtWork } from '../runs/TimeAtWork'
import { WorkerView } from './WorkerView'

const { Strong, Doubtful, Weak } = CrashEvidence

/** @returns what its worker's clock tells of a run that was at work for a span, in milliseconds. */
function atWorkFor(span: number): TimeAtWork {
	const time = new TimeAtWork()
	time.confirmed(7000)
	time.listed(7000 + span)
	return time
}

const RUN = {
	ordered: true,
	busy: false,
	isInDoubt: false,
	confirmedAt: 1000,
	atWork: atWorkFor(0),
	restored: false,
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
	readonly isCorrelated?: boolean
	readonly expected: CrashEvidence | undefined
}

const CASES: readonly Case[] = [
	{ what: 'it had just begun', expected: Strong },
	{ what: 'it was listed just after', run: { atWork: atWorkFor(200) }, expected: Strong },
	{ what: 'it was at work for a while', run: { atWork: atWorkFor(201) }, expected: Weak },
	{ what: 'it was never ordered', run: { ordered: false }, expected: undefined },
	{
		what: 'its only order was refused, or answered by the next life',
		run: UNCONFIRMED,
		expected: undefined,
	},
	{ what: 'its order is under way', run: { ...UNCONFIRMED, busy: true }, expected: Doubtful },
	{ what: 'an order got no answer', run: { ...UNCONFIRMED, isInDoubt: true }, expected: Doubtful },
	{ what: 'an earlier leader began it', run: { restored: true }, expected: Doubtful },
	{
		what: 'an earlier leader saw it at work, and this one has heard nothing of it',
		run: { ...UNCONFIRMED, restored: true, seenAtWork: true },
		expected: Weak,
	},
	{
		what: 'an earlier leader saw it at work',
		run: { restored: true, seenAtWork: true },
		expected: Weak,
	},
	{ what: 'its worker was leaving', view: { draining: true }, expected: Doubtful },
	{ what: 'other workers fell silent too', isCorrelated: true, expected: Doubtful },
	{ what: 'it lasts, and had just begun', run: { step: LASTING }, expected: Strong },
	{
		what: 'it lasts, and was at work for long',
		run: { step: LASTING, atWork: atWorkFor(5001) },
		expected: undefined,
	},
]

for (const { what, run, view, isCorrelated: isCorrelated = false, expected } of CASES) {
	test(`the end of a worker where ${what} says ${expected ?? 'nothing'} of a run`, () => {
		assert.equal(crashEvidenceOf({ ...RUN, ...run }, { ...VIEW, ...view }, isCorrelated), expected)
	})
}

function viewOf(id: string, lostAt = 0): WorkerView {
	const view = new WorkerView(workerNamed(id), new Lease(DEFAULT_LEADER_TIMING, 0), 1, 0)
	view.lostAt = lostAt
	return view
}

test('three workers of a service that fall silent within a quarter of a second are a wave', () => {
	const waves = new CorrelatedLosses()
	const views = [viewOf('w1', 1000), viewOf('w2', 1100), viewOf('w3', 1240), viewOf('w4', 2000)]
	for (const view of views) waves.record(view)
	assert.deepEqual(
		views.map((view) => waves.isCorrelated(view, 33)),
		[true, true, true, false]
	)
})

test('a worker is asked once a suspected task has begun there and no answer tells that it lives on', () => {
	const view = viewOf('w1')
	const atWork = atWorkFor(0)
	view.runs.set('task', { suspected: true, confirmedAt: 1000, atWork } as Run)
	assert.equal(hasUnconfirmedSurvival(view, 1100), false)
	assert.equal(hasUnconfirmedSurvival(view, 1300), true)
	// Any other answer may have been made before the worker crashed.
	view.answeredAt = 1300
	assert.equal(hasUnconfirmedSurvival(view, 1400), true)
	atWork.listed(7300)
	assert.equal(hasUnconfirmedSurvival(view, 1400), false)
})

test('where workers are lost all the time, a loss counts as one of a wave, however few came together', () => {
	const workers = 12
	const lostEvery = (period: number): WorkerView[] =>
		Array.from({ length: 8 }, (_, loss) => viewOf(`w${loss}`, loss * period))
	const often = new CorrelatedLosses()
	const views = lostEvery(600)
	for (const view of views) often.record(view)
	assert.ok(often.isCorrelated(views[7], workers))
	const seldom = new CorrelatedLosses()
	const others = lostEvery(2000)
	for (const view of others) seldom.record(view)
	assert.ok(!seldom.isCorrelated(others[7], workers))
	assert.ok(!often.isCorrelated(views[7], 33))
})
