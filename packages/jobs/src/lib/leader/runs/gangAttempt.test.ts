/** A gang begins whole or not at all, whatever keeps a member from beginning. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { LeaderSubject } from '../../testing/LeaderSubject'
import { jobOf } from '../../testing/samples'
import { Refusal } from '../ports'

const ID = '00000000000000aa'
const WORKERS = ['w1', 'w2', 'w3']
/** One member takes a whole worker. */
const GANG = { count: 3, gang: true, need: { cpu: 4000, memory: 512, accelerators: 0 } }
/** Milliseconds after which a member still waits on its worker, by far. */
const SOON = 600

// Guards against gangs that begin in part: those that had begun waited for the one that was refused.
test('the other members of a gang are stopped at once when the start of one is refused', () => {
	const subject = new LeaderSubject()
	for (const id of WORKERS) subject.heartbeat(id)
	subject.worker('w2').startResults = [{ kind: 'refused', reason: Refusal.Ticket }]
	subject.submit(ID, jobOf(GANG))
	subject.run(SOON, ...WORKERS)
	const stopped = WORKERS.filter((id) =>
		subject.worker(id).stops.some((stop) => stop.attempt === 1)
	)
	assert.deepEqual(stopped, ['w1', 'w3'])
})
