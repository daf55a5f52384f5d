/**
 * Seeded runs in which workers end without a word and start again under the id that they had, singly and a rack at a time, alone and
 * beside all other faults: each life numbers its heartbeats and ends from 1, has a clock of its own, and has seen no fence.
 */
import { test } from 'node:test'
import { COMMON_FAULTS, RESTARTS, WAVES, type JobFault } from './JobFaults'
import { JobRun } from './JobRun'

const SOME = 0.3
const MANY = 1
const SPAN = 12_000

function runWithRestarts(seed: number, faultRate: number, faults: readonly JobFault[]): JobRun {
	const run = new JobRun({ seed, faultRate, jobRate: 4, faults })
	run.run(SPAN)
	run.settle()
	return run
}

test('workers that start again under their id break no rule', () => {
	for (let seed = 1; seed <= 12; seed++) runWithRestarts(seed, SOME, RESTARTS)
	for (let seed = 1; seed <= 12; seed++) runWithRestarts(seed, MANY, RESTARTS)
	const all = [...COMMON_FAULTS, ...WAVES, ...RESTARTS, ...RESTARTS, ...RESTARTS]
	for (let seed = 101; seed <= 112; seed++) runWithRestarts(seed, MANY, all)
})
