/**
 * Heartbeats that other programs write and that name no usable worker: for a service of no queue,
 * at an address where nothing answers. They are accepted, because the next configuration may define
 * the service, and must have no other effect.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { LeaderSubject } from '../testing/LeaderSubject'
import { jobOf } from '../testing/samples'

const JOB = '00000000000000aa'

test('an entry of an unknown service at an address that does not answer withholds no work from other workers', () => {
	for (const born of [undefined, 7]) {
		const subject = new LeaderSubject()
		const stranger = subject.worker('stranger')
		stranger.isUnresponsive = true
		stranger.born = born
		subject.run(2000, 'w1', 'w2')
		subject.heartbeat('stranger', { service: 'unheard-of' })
		subject.run(2000, 'w1', 'w2')
		subject.worker('w1').polls.length = 0
		subject.submit(JOB, jobOf({ count: 4 }))
		assert.equal(subject.startCount, 4)
		assert.equal(stranger.starts.length, 0)
	}
})
