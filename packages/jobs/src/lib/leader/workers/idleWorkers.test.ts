/** Idle workers cost the leader little. Guards against ticks whose cost is that of all workers. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { LeaderSubject } from '../../testing/LeaderSubject'
import { jobOf } from '../../testing/samples'
import { Lease } from './Lease'

const WORKERS = Array.from({ length: 200 }, (_, number) => `w${number}`)
const SPAN_MS = 1000
/** Checks of each idle worker that a second may have. */
const MAX_CHECKS = 10

/** @returns how often a worker's state is checked while `run` runs. */
function checksDuring(run: () => void): number {
	const { get } = Object.getOwnPropertyDescriptor(Lease.prototype, 'isClockKnown')!
	let checks = 0
	Object.defineProperty(Lease.prototype, 'isClockKnown', {
		configurable: true,
		get(this: Lease) {
			checks += 1
			return get!.call(this)
		},
	})
	try {
		run()
	} finally {
		Object.defineProperty(Lease.prototype, 'isClockKnown', { configurable: true, get })
	}
	return checks
}

test('most ticks skip the workers that run nothing', () => {
	const subject = new LeaderSubject()
	for (const id of WORKERS) subject.heartbeat(id)
	subject.run(2000)
	const checks = checksDuring(() => subject.run(SPAN_MS))
	assert.ok(checks <= WORKERS.length * MAX_CHECKS, `${checks} checks`)
})

test('a worker with runs is checked at every tick', () => {
	const subject = new LeaderSubject()
	subject.heartbeat('w1')
	subject.submit('00000000000000aa', jobOf({}))
	subject.run(2000, 'w1')
	const checks = checksDuring(() => subject.run(SPAN_MS))
	assert.ok(checks >= SPAN_MS / 20, `${checks} checks`)
})
