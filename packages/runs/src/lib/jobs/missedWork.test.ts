/**
 * Work that could run begins although the change was missed that should have told of it: each wake-up is taken out once, and runs still end
 * all that they accepted, since the controller looks again at what is replicated. With the looking again taken out too, they fail.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { jobsClass, withBroken, type Breakage } from '../testing/brokenParts'
import { JobRun } from './JobRun'

const SEEDS = 6
const FAULT_RATE = 1

interface WakeUp {
	/** What it tells of. */
	readonly of: string
	/** The part of the controller that is told, and its method. */
	readonly part: string
	readonly method: string
}

const WAKE_UPS: readonly WakeUp[] = [
	{ of: 'jobs that are accepted', part: 'StepScheduler', method: 'accept' },
	{
		of: 'steps whose predecessors are done, and tasks that have to begin again',
		part: 'StepScheduler',
		method: 'settled',
	},
	{ of: 'tasks that have to begin again', part: 'StepScheduler', method: 'reopen' },
	{ of: 'tasks under suspicion that may go on', part: 'StepScheduler', method: 'reconsider' },
	{ of: 'steps that are ready', part: 'StepScheduler', method: 'openReady' },
	{ of: 'runs that have begun', part: 'RunController', method: 'begun' },
]

function blind({ part }: WakeUp): Breakage {
	return [jobsClass('leader', part), 'lookAgain', () => () => []]
}

function silenced({ part, method }: WakeUp): Breakage {
	return [jobsClass('leader', part), method, () => () => undefined]
}

/** @returns what the first seed that fails says, or an empty text when none does. */
function firstFailure(): string {
	for (let seed = 1; seed <= SEEDS; seed++) {
		try {
			const run = new JobRun({ seed, faultRate: FAULT_RATE, jobRate: 4, crashingTasks: true })
			run.run(12_000)
			run.settle()
		} catch (fault) {
			return (fault as Error).message
		}
	}
	return ''
}

for (const wakeUp of WAKE_UPS) {
	test(`without being told of ${wakeUp.of}, runs end all the same`, () => {
		assert.equal(withBroken([silenced(wakeUp)], firstFailure), '')
	})
}

/** Tasks under suspicion are tried by each full pass besides, so they alone go on without either. */
test('without being told, and without looking again, accepted jobs do not end', () => {
	const failures = WAKE_UPS.map((wakeUp) =>
		withBroken([silenced(wakeUp), blind(wakeUp)], firstFailure)
	)
	const ends = /an accepted job ends|a lasting task is at work|crashes its workers ends/
	const found = failures.filter((failure) => ends.test(failure))
	assert.ok(found.length >= WAKE_UPS.length - 1, failures.join('\n'))
})
