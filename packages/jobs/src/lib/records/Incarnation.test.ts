/** Lives of workers as text, and told apart. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import {
	formatIncarnation,
	isOtherIncarnation,
	parseIncarnation,
	workerNameOf,
} from './Incarnation'

test('an id is read back as the life that it names', () => {
	for (const life of [{ name: 'i-7f' }, { name: 'i-7f', born: 0 }, { name: 'i-7f', born: 17e11 }]) {
		assert.deepEqual(parseIncarnation(formatIncarnation(life)), life)
		assert.equal(workerNameOf(formatIncarnation(life)), 'i-7f')
	}
})

test('two lives are told apart whichever started first by the calendar, and not where one does not say', () => {
	assert.ok(isOtherIncarnation(5, 4))
	assert.ok(isOtherIncarnation(4, 5))
	assert.ok(!isOtherIncarnation(5, 5))
	assert.ok(!isOtherIncarnation(undefined, 5))
	assert.ok(!isOtherIncarnation(5, undefined))
})
