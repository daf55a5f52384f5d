/**
 * Work that could run begins although the change was missed that should have told of it: each wake-up is taken out once, and runs still end
 * all that they accepted, since the controller looks again at what is replicated. With the looking again taken out too, they fail.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { jobsClass, withBroken, type Breakage } from '../testing/brokenParts'
import { firstFailure } from '../testing/firstFailure'
import { JobRun } from './JobRun'

const SEEDS = 6
const FAULT_RATE = 1

interface WakeUp {
	/** What it tells of. */
	readonly of: string
	/** The scheduler's method that is told. */
	readonly method: string
}

const WAKE_UPS: readonly WakeUp[] = [
	{ of: 'jobs that are accepted', method: 'addJob' },
	{
		of: 'steps whose predecessors are done, and tasks that have to begin again',
		method: 'onTaskSettled',
	},
	{ of: 'tasks that have to begin again', method: 'reopen' },
	{ of: 'tasks under suspicion that may go on', method: 'reconsider' },
	{ of: 'steps that are ready', method: 'openReady' },
]

const SCHEDULER = jobsClass('leader/steps', 'StepScheduler')
const BLIND: Breakage = [SCHEDULER, 'reconcile', () => () => []]

function silenced({ method }: WakeUp): Breakage {
	return [SCHEDULER, method, () => () => undefined]
}

function play(seed: number): void {
	const run = new JobRun({ seed, faultRate: FAULT_RATE, jobRate: 4, crashingTasks: true })
	run.run(12_000)
	run.settle()
}

/** @returns what the first seed says that fails with some parts broken, or an empty text when none does. */
function failureWithout(...broken: Breakage[]): string {
	return withBroken(broken, () => firstFailure(play, SEEDS))
}

for (const wakeUp of WAKE_UPS) {
	test(`without being told of ${wakeUp.of}, runs end all the same`, () => {
		assert.equal(failureWithout(silenced(wakeUp)), '')
	})
}

/** Tasks under suspicion are tried by each full pass besides, so they alone go on without either. */
test('without being told, and without looking again, accepted jobs do not end', () => {
	const failures = WAKE_UPS.map((wakeUp) => failureWithout(silenced(wakeUp), BLIND))
	const ends = /an accepted job ends|a lasting task is at work|crashes its workers ends/
	const found = failures.filter((failure) => ends.test(failure))
	assert.ok(found.length >= WAKE_UPS.length - 1, failures.join('\n'))
})

test('a run that nobody is told has begun is not found by looking again: the runs fail', () => {
	const untold: Breakage = [
		jobsClass('leader/runs', 'RunController'),
		'onStartCommitted',
		() => () => undefined,
	]
	assert.match(failureWithout(untold), /an accepted job ends|a lasting task is at work/)
})
