/**
 * Invariants of client accounts: runs under faults, with keys and quotas that change, keep them,
 * and the same runs fail without the mechanism that ensures them.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import {
	internalClass,
	jobsClass,
	withPatchedMethods,
	type MethodPatch,
} from '../testing/withPatchedMethods'
import { JobRun } from './JobRun'

const NO_FAULTS = 0
const SOME_FAULTS = 1
const MANY_FAULTS = 4
const SPAN = 12_000

function runOnce(seed: number, faultRate: number): JobRun {
	const run = new JobRun({ seed, faultRate, jobRate: 6, accounts: true })
	run.run(SPAN)
	run.settle()
	return run
}

/** @returns the message of the first seed that fails, or an empty string if none does. */
function firstFailure(): string {
	for (let seed = 1; seed <= 20; seed++) {
		try {
			runOnce(seed, SOME_FAULTS)
		} catch (fault) {
			return (fault as Error).message
		}
	}
	return ''
}

test('runs with no, some and many faults keep every rule of accounts', () => {
	for (let seed = 1; seed <= 4; seed++) runOnce(seed, NO_FAULTS)
	for (let seed = 1; seed <= 8; seed++) runOnce(seed, SOME_FAULTS)
	for (let seed = 101; seed <= 108; seed++) runOnce(seed, MANY_FAULTS)
})

test('regression, seed 70100: a key was replaced after a call had submitted a job and its leader was lost', () => {
	const run = new JobRun({ seed: 70100, faultRate: MANY_FAULTS, jobRate: 4, accounts: true })
	run.run(20_000)
	run.settle()
})

const QUOTA_EXCEEDED = /no account has more running than its quota/

const PATCHES: readonly { rule: RegExp; without: string; patches: () => MethodPatch[] }[] = [
	{
		rule: QUOTA_EXCEEDED,
		without: 'counting the usage of accounts',
		patches: () => [
			[internalClass('@rillrudder/scheduler', 'QuotaAccount'), 'addUsage', () => () => undefined],
		],
	},
	{
		rule: QUOTA_EXCEEDED,
		without: 'checking the quota',
		patches: () => [
			[internalClass('@rillrudder/scheduler', 'QuotaAccount'), 'allows', () => () => true],
		],
	},
	{
		rule: /nothing runs for a caller without a key/,
		without: 'checking keys',
		patches: () => [
			[
				jobsClass('accounts', 'Access'),
				'callerOf',
				(original) =>
					function (...given) {
						const caller = original.apply(this, given) as { kind: string }
						return caller.kind === 'unknown' ? { kind: 'anyone' } : caller
					},
			],
		],
	},
]

for (const { rule, without, patches } of PATCHES) {
	test(`runs fail without ${without}`, () => {
		assert.match(
			withPatchedMethods(patches(), () => firstFailure()),
			rule
		)
	})
}
