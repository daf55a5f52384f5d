import assert from 'node:assert/strict'
import { test } from 'node:test'
import { OutageDetector } from './OutageDetector'

test('one unreachable worker of a few makes the others suspect', () => {
	const watch = new OutageDetector()
	watch.onMissedCall('vake', 'w1', 11, 1000)
	assert.equal(watch.suspectSince('vake', 1010), 1000)
	assert.equal(watch.suspectSince('isani', 1010), undefined)
	assert.equal(watch.suspectSince('vake', 3100), undefined)
})

test('in a large data centre several workers must be unreachable at the same time', () => {
	const watch = new OutageDetector()
	for (let number = 0; number < 20; number++) {
		watch.onMissedCall('vake', `w${number}`, 80, 1000 + number)
		watch.onAnswered('vake', `w${number}`)
	}
	assert.equal(watch.suspectSince('vake', 1100), undefined)
	for (let number = 0; number < 5; number++)
		watch.onMissedCall('vake', `w${number}`, 80, 2000 + number)
	assert.equal(watch.suspectSince('vake', 2010), 2004)
})

test('further failures raise no new suspicion within the interval', () => {
	const watch = new OutageDetector()
	watch.onMissedCall('vake', 'w1', 11, 1000)
	watch.onMissedCall('vake', 'w2', 11, 1200)
	assert.equal(watch.suspectSince('vake', 1200), 1000)
	watch.onMissedCall('vake', 'w3', 11, 1300)
	assert.equal(watch.suspectSince('vake', 1300), 1300)
})
