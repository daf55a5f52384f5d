/**
 * Carriers of different size in one data centre: each gets its share, and no more workers move than
 * necessary.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { textHash } from '@rillrudder/utils'
import fc from 'fast-check'
import { choose, type Candidate } from './rendezvous'

const TRIES = { numRuns: 200, seed: 36 }
const WEIGHTED = { weighted: true }
const WORKERS = Array.from({ length: 4000 }, (_, number) => `i-${(number * 7919).toString(16)}`)

const candidate = (number: number, weight = 1, kept = 1): Candidate => ({
	id: `10.1.0.${number}:7720`,
	weight,
	kept,
})

function chosen(candidates: readonly Candidate[], weighted: boolean): Map<string, string> {
	return new Map(
		WORKERS.map((worker) => [worker, choose(worker, candidates, { weighted })?.id ?? ''])
	)
}

function shareOf(choices: ReadonlyMap<string, string>, { id }: Candidate): number {
	return [...choices.values()].filter((other) => other === id).length / choices.size
}

test('equal and punctual candidates are chosen by the plain hash of the pair', () => {
	const numbers = fc.uniqueArray(fc.integer({ min: 1, max: 250 }), { minLength: 1, maxLength: 6 })
	const plain = (worker: string, ids: readonly string[]): string =>
		ids.reduce((best, id) =>
			textHash(`${worker} ${id}`) > textHash(`${worker} ${best}`) ? id : best
		)
	const same = fc.property(numbers, fc.string({ minLength: 4 }), (some, worker) => {
		const candidates = some.map((number) => candidate(number, 1080))
		const ids = candidates.map(({ id }) => id)
		assert.equal(choose(worker, candidates, { weighted: false })?.id, plain(worker, ids))
	})
	fc.assert(same, TRIES)
})

test('a candidate of a third of the size gets a third as many workers', () => {
	const [small, large] = [candidate(16, 243), candidate(17, 729)]
	const share = shareOf(chosen([small, large], true), small)
	assert.ok(Math.abs(share - 0.25) < 0.04, `${share}`)
})

test('a candidate that leaves moves only its own workers', () => {
	const weights = fc.array(fc.integer({ min: 1, max: 9 }), { minLength: 2, maxLength: 5 })
	const onlyItsOwn = fc.property(weights, fc.string({ minLength: 4 }), (some, worker) => {
		const candidates = some.map((weight, number) => candidate(number, weight))
		const before = choose(worker, candidates, WEIGHTED)
		const rest = candidates.slice(1)
		if (before !== candidates[0]) assert.equal(choose(worker, rest, WEIGHTED), before)
	})
	fc.assert(onlyItsOwn, TRIES)
})

test('a candidate that keeps seven tenths loses three tenths of its workers, and no others move', () => {
	for (const weighted of [false, true]) {
		const [late, other] = [candidate(16), candidate(17)]
		const before = chosen([late, other], weighted)
		const after = chosen([{ ...late, kept: 0.7 }, other], weighted)
		const moved = WORKERS.filter((worker) => before.get(worker) !== after.get(worker))
		assert.ok(moved.every((worker) => before.get(worker) === late.id))
		const share = moved.length / (shareOf(before, late) * WORKERS.length)
		assert.ok(Math.abs(share - 0.3) < 0.05, `${share}`)
	}
})

test('if all are equally late no worker moves', () => {
	const before = chosen([candidate(16), candidate(17)], false)
	assert.deepEqual(chosen([candidate(16, 1, 0.4), candidate(17, 1, 0.4)], false), before)
})
