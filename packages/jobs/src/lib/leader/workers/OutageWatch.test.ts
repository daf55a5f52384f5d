import assert from 'node:assert/strict'
import { test } from 'node:test'
import { OutageWatch } from './OutageWatch'

test('one silent worker of a few makes the others suspect', () => {
	const watch = new OutageWatch()
	watch.missed('vake', 'w1', 11, 1000)
	assert.equal(watch.suspectSince('vake', 1010), 1000)
	assert.equal(watch.suspectSince('isani', 1010), undefined)
	assert.equal(watch.suspectSince('vake', 3100), undefined)
})

test('of many workers several must be silent at the same time', () => {
	const watch = new OutageWatch()
	for (let number = 0; number < 20; number++) {
		watch.missed('vake', `w${number}`, 80, 1000 + number)
		watch.answered('vake', `w${number}`)
	}
	assert.equal(watch.suspectSince('vake', 1100), undefined)
	for (let number = 0; number < 5; number++) watch.missed('vake', `w${number}`, 80, 2000 + number)
	assert.equal(watch.suspectSince('vake', 2010), 2004)
})

test('further failures raise no new suspicion for a while', () => {
	const watch = new OutageWatch()
	watch.missed('vake', 'w1', 11, 1000)
	watch.missed('vake', 'w2', 11, 1200)
	assert.equal(watch.suspectSince('vake', 1200), 1000)
	watch.missed('vake', 'w3', 11, 1300)
	assert.equal(watch.suspectSince('vake', 1300), 1300)
})
