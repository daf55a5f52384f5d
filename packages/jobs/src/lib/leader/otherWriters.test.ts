/**
 * Entries of other writers that can be read and name no worker to use: of a service that no queue knows, at an address where nobody is. They are
 * taken in, since a service may come with the next configuration, and nothing else may come of them.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { LeaderSubject } from '../testing/LeaderSubject'
import { jobOf } from '../testing/samples'

const JOB = '00000000000000aa'

test('an entry of an unknown service at an address where nobody is keeps no work from its neighbours', () => {
	for (const born of [undefined, 7]) {
		const subject = new LeaderSubject()
		const stranger = subject.worker('stranger')
		stranger.silent = true
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
