import assert from 'node:assert/strict'
import { test } from 'node:test'
import { DEFAULT_LEADER_POLICY } from '../leader/LeaderPolicy'
import { LeaderSubject } from '../testing/LeaderSubject'
import { jobOf } from '../testing/samples'
import { UsefulnessOrder } from './UsefulnessOrder'

test('the order by usefulness applies when the settings ask for it, speeds differ or gangs are planned', () => {
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

/**
 * Fills a worker while one job waits until it can't finish in time, submits another job, and then
 * frees the capacity.
 *
 * @returns the id of the job that starts first.
 */
function firstStarted(overload: boolean): string {
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

test('a step that can still be in time goes before a late one only when ordering by usefulness is enabled', () => {
	assert.equal(firstStarted(true), FRESH)
	assert.equal(firstStarted(false), LATE)
})
