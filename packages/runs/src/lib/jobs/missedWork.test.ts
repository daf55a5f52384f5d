/**
 * Runnable work starts even if the scheduler misses the notification of the change that made it
 * runnable. Without any one of the notifications runs still end all accepted jobs, because the
 * controller rescans the replicated state. Without the rescan as well they fail.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { jobsClass, withPatchedMethods, type MethodPatch } from '../testing/withPatchedMethods'
import { firstFailure } from '../testing/firstFailure'
import { JobRun } from './JobRun'

const SEEDS = 6
const FAULT_RATE = 1

interface Notification {
	/** The change that it reports. */
	readonly of: string
	/** The method of the scheduler that is called. */
	readonly method: string
}

const NOTIFICATIONS: readonly Notification[] = [
	{ of: 'jobs that are accepted', method: 'addJob' },
	{
		of: 'steps whose predecessors are done, and tasks that have to start again',
		method: 'onTaskSettled',
	},
	{ of: 'tasks that have to start again', method: 'reopen' },
	{ of: 'suspected tasks that may continue', method: 'reconsider' },
	{ of: 'steps that are ready', method: 'openReady' },
]

const SCHEDULER = jobsClass('leader/steps', 'StepScheduler')
const NO_RESCAN: MethodPatch = [SCHEDULER, 'reconcile', () => () => []]

function withoutNotification({ method }: Notification): MethodPatch {
	return [SCHEDULER, method, () => () => undefined]
}

function runSeed(seed: number): void {
	const run = new JobRun({ seed, faultRate: FAULT_RATE, jobRate: 4, crashingTasks: true })
	run.run(12_000)
	run.settle()
}

/**
 * @returns the message of the first seed that fails with the patches, or an empty string if none
 * does.
 */
function failureWithout(...patches: MethodPatch[]): string {
	return withPatchedMethods(patches, () => firstFailure(runSeed, SEEDS))
}

for (const notification of NOTIFICATIONS) {
	test(`runs end without being notified of ${notification.of}`, () => {
		assert.equal(failureWithout(withoutNotification(notification)), '')
	})
}

/** Each full pass also tries suspected tasks, so only these continue without both. */
test('without a notification and without the rescan, accepted jobs do not end', () => {
	const failures = NOTIFICATIONS.map((notification) =>
		failureWithout(withoutNotification(notification), NO_RESCAN)
	)
	const ends = /an accepted job ends|a lasting task is at work|crashes its workers ends/
	const found = failures.filter((failure) => ends.test(failure))
	assert.ok(found.length >= NOTIFICATIONS.length - 1, failures.join('\n'))
})

test('runs fail without the notification of started runs, which the rescan does not replace', () => {
	const unnotified: MethodPatch = [
		jobsClass('leader/runs', 'RunController'),
		'onStartCommitted',
		() => () => undefined,
	]
	assert.match(failureWithout(unnotified), /an accepted job ends|a lasting task is at work/)
})
