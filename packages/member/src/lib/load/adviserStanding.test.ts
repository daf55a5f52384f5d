/** Questions go past instances that are late, loaded or small. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { adviserStanding } from './adviserStanding'
import { PeerLoads } from './PeerLoads'

const PLAIN = { isLate: false, load: 0, isSmall: false }

function standing(loads: PeerLoads, id: string, now = 0) {
	const processor = loads.processorOf(id)
	return adviserStanding(loads.loadOf(id, now), { processor, largest: loads.largestProcessor() })
}

test('one of a third of the size is small, one of three quarters is not, and of an unknown one nothing is held', () => {
	const loads = new PeerLoads()
	loads.take('small', { processor: 243, loopDelay: 0, fill: 0 }, 0)
	assert.deepEqual(standing(loads, 'small'), PLAIN)
	loads.take('large', { processor: 810, loopDelay: 0, fill: 0 }, 0)
	loads.take('middle', { processor: 608, loopDelay: 0, fill: 0 }, 0)
	loads.take('earlier version', undefined, 0)
	assert.deepEqual(standing(loads, 'small'), { ...PLAIN, isSmall: true })
	for (const id of ['large', 'middle', 'earlier version']) {
		assert.deepEqual(standing(loads, id), PLAIN)
	}
	loads.lost('large')
	assert.equal(loads.largestProcessor(), 608)
})

test('a loop that is late and calls under way count while they are fresh', () => {
	const loads = new PeerLoads()
	loads.take('one', { processor: 243, loopDelay: 80, fill: 60 }, 0)
	assert.deepEqual(standing(loads, 'one', 2000), { isLate: true, load: 2, isSmall: false })
	assert.deepEqual(standing(loads, 'one', 2001), PLAIN)
})
