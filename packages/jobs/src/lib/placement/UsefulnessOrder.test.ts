import assert from 'node:assert/strict'
import { test } from 'node:test'
import { DEFAULT_LEADER_POLICY } from '../leader/LeaderPolicy'
import { LeaderSubject } from '../testing/LeaderSubject'
import { jobOf } from '../testing/samples'
import { UsefulnessOrder } from './UsefulnessOrder'

test('the order by use is in force where settings call for it, speeds differ much, or gangs are planned', () => {
	const plain = new UsefulnessOrder(DEFAULT_LEADER_POLICY)
	assert.equal(plain.isEnabled, false)
	plain.hasDifferingSpeeds = true
	assert.equal(plain.isEnabled, true)
	const withGangs = new UsefulnessOrder(DEFAULT_LEADER_POLICY)
	withGangs.hasPlannedGangs = true
	assert.equal(withGangs.isEnabled, true)
	assert.equal(new UsefulnessOrder({ ...DEFAULT_LEADER_POLICY, overload: true }).isEnabled, true)
})

const WHOLE_WORKER = { cpu: 4000, memory: 512, accelerators: 0 }
const EARLY = '00000000000000aa'
const LATE = '00000000000000bb'
const FRESH = '00000000000000cc'

/** A worker that is full while one job waits until it can't be in time any more; then another one is handed in, and room comes free. */
function begunFirst(overload: boolean): string {
	const subject = new LeaderSubject()
	subject.policy = { ...DEFAULT_LEADER_POLICY, overload }
	subject.lead()
	const job = jobOf({ need: WHOLE_WORKER, expectedTime: 1000 })
	subject.heartbeat('w1')
	subject.submit(EARLY, job)
	subject.run(500, 'w1')
	subject.submit(LATE, job)
	subject.run(6000, 'w1')
	subject.submit(FRESH, job)
	subject.run(200, 'w1')
	subject.worker('w1').end(`${EARLY}.0.0.0`, 'done')
	subject.run(500, 'w1')
	const [, second] = subject.worker('w1').starts
	return second.task.slice(0, EARLY.length)
}

test('when too little room comes free, what can still be in time goes before what has become late, where that is called for', () => {
	assert.equal(begunFirst(true), FRESH)
	assert.equal(begunFirst(false), LATE)
})
