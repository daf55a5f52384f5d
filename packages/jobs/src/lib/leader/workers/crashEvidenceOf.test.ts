/**
 * Evidence that the loss of a worker gives against the tasks that ran there, and correlated losses.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { CrashEvidence } from '../../state/TaskCrashes'
import { crashEvidenceOf, hasUnconfirmedSurvival } from './crashEvidenceOf'
import { CorrelatedLosses } from './CorrelatedLosses'
import { STEP, workerNamed } from '../../testing/samples'
import { DEFAULT_LEADER_TIMING } from '../LeaderTiming'
import { Lease } from './Lease'
import type { Run } from '../runs/Run'
import { ObservedRunTime } from '../runs/ObservedRunTime'
import { WorkerView } from './WorkerView'

const { Strong, Doubtful, Weak } = CrashEvidence

/** @returns the time at work of a run that its worker's clock showed at work for `span` ms. */
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
const VIEW = { isDraining: false, hasLeft: false }
const LASTING = { ...STEP, lasting: true }

interface Case {
	readonly what: string
	readonly run?: Partial<typeof RUN> | typeof UNCONFIRMED
	readonly view?: Partial<typeof VIEW>
	readonly isCorrelated?: boolean
	readonly expected: CrashEvidence | undefined
}

const CASES: readonly Case[] = [
	{ what: 'it had just started', expected: Strong },
	{
		what: 'it was listed just after its start',
		run: { observedTime: atWorkFor(200) },
		expected: Strong,
	},
	{ what: 'it was at work for a while', run: { observedTime: atWorkFor(201) }, expected: Weak },
	{ what: 'it was never ordered', run: { isOrdered: false }, expected: undefined },
	{
		what: 'its only order was refused, or answered by the next incarnation',
		run: UNCONFIRMED,
		expected: undefined,
	},
	{
		what: 'its order is under way',
		run: { ...UNCONFIRMED, isOrderPending: true },
		expected: Doubtful,
	},
	{ what: 'an order got no answer', run: { ...UNCONFIRMED, isInDoubt: true }, expected: Doubtful },
	{ what: 'an earlier leader started it', run: { isRestored: true }, expected: Doubtful },
	{
		what: 'an earlier leader saw it at work, and no answer has reached this leader',
		run: { ...UNCONFIRMED, isRestored: true, seenAtWork: true },
		expected: Weak,
	},
	{
		what: 'an earlier leader saw it at work',
		run: { isRestored: true, seenAtWork: true },
		expected: Weak,
	},
	{ what: 'its worker was leaving', view: { isDraining: true }, expected: Doubtful },
	{ what: 'other workers were lost too', isCorrelated: true, expected: Doubtful },
	{ what: 'it is lasting and had just started', run: { step: LASTING }, expected: Strong },
	{
		what: 'it is lasting and was at work for long',
		run: { step: LASTING, observedTime: atWorkFor(5001) },
		expected: undefined,
	},
]

for (const { what, run, view, isCorrelated = false, expected } of CASES) {
	test(`evidence against a run when its worker is lost and ${what}: ${expected ?? 'none'}`, () => {
		assert.equal(crashEvidenceOf({ ...RUN, ...run }, { ...VIEW, ...view }, isCorrelated), expected)
	})
}

function viewOf(id: string, lostAt = 0): WorkerView {
	const view = new WorkerView(workerNamed(id), new Lease(DEFAULT_LEADER_TIMING, 0), 1, 0)
	view.lostAt = lostAt
	return view
}

test('losses of three workers of a service within a quarter of a second are correlated', () => {
	const losses = new CorrelatedLosses()
	const views = [viewOf('w1', 1000), viewOf('w2', 1100), viewOf('w3', 1240), viewOf('w4', 2000)]
	for (const view of views) losses.record(view)
	assert.deepEqual(
		views.map((view) => losses.isCorrelated(view, 33)),
		[true, true, true, false]
	)
})

test('a worker is probed once a suspected task has started there and no answer shows that the worker survived', () => {
	const view = viewOf('w1')
	const atWork = atWorkFor(0)
	view.runs.set('task', { isSuspected: true, confirmedAt: 1000, observedTime: atWork } as Run)
	assert.equal(hasUnconfirmedSurvival(view, 1100), false)
	assert.equal(hasUnconfirmedSurvival(view, 1300), true)
	// Any other answer may have been made before the worker crashed.
	view.answeredAt = 1300
	assert.equal(hasUnconfirmedSurvival(view, 1400), true)
	atWork.onListed(7300)
	assert.equal(hasUnconfirmedSurvival(view, 1400), false)
})

test('while workers are lost often, each loss counts as correlated, however few coincide', () => {
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
