/** Ids of incarnations, and their comparison. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import {
	formatIncarnation,
	isOtherIncarnation,
	parseIncarnation,
	workerNameOf,
} from './Incarnation'

test('an id is parsed back to the incarnation that it was formatted from', () => {
	for (const life of [{ name: 'i-7f' }, { name: 'i-7f', born: 0 }, { name: 'i-7f', born: 17e11 }]) {
		assert.deepEqual(parseIncarnation(formatIncarnation(life)), life)
		assert.equal(workerNameOf(formatIncarnation(life)), 'i-7f')
	}
})

test('incarnations differ by their start times in either order, and not where one is unknown', () => {
	assert.ok(isOtherIncarnation(5, 4))
	assert.ok(isOtherIncarnation(4, 5))
	assert.ok(!isOtherIncarnation(5, 5))
	assert.ok(!isOtherIncarnation(undefined, 5))
	assert.ok(!isOtherIncarnation(5, undefined))
})
