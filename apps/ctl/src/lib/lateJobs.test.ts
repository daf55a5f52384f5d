import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Delay, lateJobs } from './lateJobs'

let second = 0

function line(event: string, fields: object): string {
	const at = new Date(1_000_000 + ++second * 1000).toISOString()
	return `core-1 ${JSON.stringify({ at, level: 'info', process: 'core-1', event, ...fields })}`
}

function placed(job: string, waited: number, advised: number, priority = 0): string {
	return line('step-placed', { step: `${job}.0.0`, priority, runs: 1, waited, advised })
}

function ended(job: string, took: number, objective?: number): string {
	return line('job-ended', { job, state: 'completed', took, objective })
}

test('each late job is told with what delayed it first of all', () => {
	const lines = [
		placed('a', 10, 10),
		ended('a', 900),
		placed('b', 30, 30),
		line('run-ended', { task: 'b.0.0.0', how: 'failed' }),
		placed('b', 900, 30),
		ended('b', 2500),
		placed('c', 700, 650),
		ended('c', 2600),
		placed('d', 700, 30),
		ended('d', 2700),
		placed('e', 10, 10),
		line('run-ended', { task: 'e.0.0.3', how: 'failed' }),
		line('run-ended', { task: 'e.0.0.2', how: 'lost' }),
		ended('e', 6000),
		placed('f', 10, 10),
		ended('f', 4000),
	]
	assert.deepEqual(
		lateJobs(lines, { over: 2400 }).map(({ job, delay }) => [job, delay]),
		[
			['b', Delay.Failed],
			['c', Delay.Advice],
			['d', Delay.Room],
			['e', Delay.Lost],
			['f', Delay.Other],
		]
	)
})

test('only jobs of the priority asked for count, and lines that are none of ours are passed over', () => {
	const lines = [
		'something else {',
		'{"at": "cut off',
		placed('urgent', 10, 10, 0),
		placed('batch', 10, 10, 2),
		ended('urgent', 3000),
		ended('batch', 9000),
	]
	const late = lateJobs(lines, { over: 2400, priority: 0 })
	assert.deepEqual(
		late.map(({ job, took }) => [job, took]),
		[['urgent', 3000]]
	)
})

test('without a bound each job counts against its own objective', () => {
	const lines = [
		placed('short', 10, 10),
		placed('long', 10, 10),
		ended('short', 2000, 1500),
		ended('long', 9000, 12_000),
	]
	assert.deepEqual(
		lateJobs(lines, {}).map(({ job }) => job),
		['short']
	)
})
