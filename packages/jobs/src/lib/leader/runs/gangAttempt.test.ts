/** A gang begins whole or not at all, whatever keeps a member from beginning. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { LeaderSubject } from '../../testing/LeaderSubject'
import { jobOf } from '../../testing/samples'
import { LeaderEvent } from '../LeaderEvent'
import { DEFAULT_LEADER_TIMING } from '../LeaderTiming'
import { Refusal, type OrderResult } from '../ports'

const ID = '00000000000000aa'
const WORKERS = ['w1', 'w2', 'w3']
const OTHERS = ['w1', 'w3']
/** One member takes a whole worker. */
const GANG = { count: 3, gang: true, need: { cpu: 4000, memory: 512, accelerators: 0 } }
/** Milliseconds after which a member still waits on its worker, by far. */
const SOON = 600
/** Milliseconds of a call without an answer, and of the next one, beyond `SOON`. */
const UNANSWERED = 500

function refused(reason: Refusal): OrderResult {
	return { kind: 'refused', reason }
}

/** Three workers on which members wait until all are there. */
function threeWorkers(): LeaderSubject {
	const subject = new LeaderSubject()
	for (const id of WORKERS) {
		subject.heartbeat(id)
		subject.worker(id).progressPerPoll = 0
	}
	return subject
}

/** @returns the workers that were told to stop their members of the first attempt. */
function stopped(subject: LeaderSubject): string[] {
	const isFirst = ({ attempt }: { readonly attempt: number }): boolean => attempt === 1
	return WORKERS.filter((id) => subject.worker(id).stops.some(isFirst))
}

/** @returns the workers that were told to start members of an attempt. */
function started(subject: LeaderSubject, attempt: number): string[] {
	return WORKERS.filter((id) =>
		subject.worker(id).starts.some((start) => start.attempt === attempt)
	)
}

// Guards against gangs that begin in part: those that had begun waited for the one that was refused.
test('the other members of a gang are stopped at once when the start of one is refused', () => {
	const subject = threeWorkers()
	subject.worker('w2').startResults = [refused(Refusal.Ticket)]
	subject.submit(ID, jobOf(GANG))
	subject.run(SOON, ...WORKERS)
	assert.deepEqual(stopped(subject), OTHERS)
})

interface Row {
	readonly what: string
	/** What becomes of the start of the member at the second worker. */
	readonly results: OrderResult[]
	/** Milliseconds beyond `SOON` until the others have to be stopped. */
	readonly later?: number
}

const NOT_STARTED: readonly Row[] = [
	...[
		Refusal.Ticket,
		Refusal.NoCapacity,
		Refusal.Unhealthy,
		Refusal.Invalid,
		Refusal.Superseded,
	].map((reason) => ({ what: `is refused (${reason})`, results: [refused(reason)] })),
	{
		what: 'is not answered, and is refused when it is sent again',
		results: [{ kind: 'unknown', message: 'no answer' }, refused(Refusal.Ticket)],
		later: UNANSWERED,
	},
	{
		what: 'is not carried, and is refused when it is sent again',
		results: [{ kind: 'not-carried' }, refused(Refusal.Unhealthy)],
	},
	{ what: 'reaches another incarnation', results: [{ kind: 'other-incarnation' }] },
	{
		what: 'is refused as late again and again',
		results: Array<OrderResult>(30).fill(refused(Refusal.LeaseExpired)),
		later: DEFAULT_LEADER_TIMING.gangWait - SOON - UNANSWERED,
	},
]

for (const { what, results, later = 0 } of NOT_STARTED) {
	test(`where the start of a member ${what}, the others are stopped before their workers give them up`, () => {
		const subject = threeWorkers()
		subject.worker('w2').startResults = [...results]
		subject.submit(ID, jobOf(GANG))
		subject.run(SOON + later, ...WORKERS)
		assert.deepEqual(
			stopped(subject).filter((id) => OTHERS.includes(id)),
			OTHERS
		)
	})
}

test('the next attempt begins once the last member of the one before has ended', () => {
	const subject = threeWorkers()
	subject.worker('w2').startResults = [refused(Refusal.Ticket)]
	subject.submit(ID, jobOf(GANG))
	subject.run(DEFAULT_LEADER_TIMING.gangWait, ...WORKERS)
	assert.deepEqual(started(subject, 2), WORKERS)
	assert.equal(WORKERS.flatMap((id) => subject.worker(id).running).length, GANG.count)
})

test('a member whose worker says nothing holds the others up no longer than they may wait', () => {
	const subject = threeWorkers()
	subject.worker('w2').isUnresponsive = true
	subject.submit(ID, jobOf(GANG))
	subject.run(DEFAULT_LEADER_TIMING.gangWait, ...WORKERS)
	assert.deepEqual(stopped(subject), OTHERS)
})

test('a gang of which one worker has ended since it was decided does not begin', () => {
	const subject = threeWorkers()
	subject.proposals.held = true
	subject.submit(ID, jobOf(GANG))
	subject.run(40)
	subject.worker('w2').replaced = true
	subject.proposals.held = false
	// The end of the worker comes to the log before the gang.
	subject.state.workers.leave('w2')
	subject.proposals.commit()
	subject.run(SOON, ...OTHERS)
	assert.deepEqual(started(subject, 1), [])
})

test('a member that was beside its worker when the leader changed is given up with the others', () => {
	const subject = threeWorkers()
	const lost: OrderResult = { kind: 'unknown', message: 'no answer' }
	subject.worker('w2').startResults = Array<OrderResult>(30).fill(lost)
	subject.submit(ID, jobOf(GANG))
	subject.run(100, ...WORKERS)
	subject.worker('w2').startResults = []
	subject.lead()
	subject.run(SOON, ...WORKERS)
	assert.deepEqual(
		stopped(subject).filter((id) => OTHERS.includes(id)),
		OTHERS
	)
	assert.deepEqual(started(subject, 2), WORKERS)
})

test('a gang at work is left alone by the next leader', () => {
	const subject = threeWorkers()
	subject.submit(ID, jobOf(GANG))
	for (const id of WORKERS) subject.worker(id).progressPerPoll = 3
	subject.run(2000, ...WORKERS)
	subject.lead()
	subject.run(DEFAULT_LEADER_TIMING.gangWait + SOON, ...WORKERS)
	assert.deepEqual(stopped(subject), [])
	assert.deepEqual(started(subject, 2), [])
})

test('the end of a member that was there stops the one whose start is under way', () => {
	const subject = threeWorkers()
	subject.worker('w2').isUnresponsive = true
	subject.submit(ID, jobOf(GANG))
	subject.run(100, ...WORKERS)
	subject.worker('w1').end(`${ID}.0.0.0`, 'failed')
	subject.worker('w2').isUnresponsive = false
	subject.run(1500, ...WORKERS)
	assert.ok(stopped(subject).includes('w2'))
})

test('a line tells which member kept a gang from beginning, and for how long the others had gathered', () => {
	const subject = threeWorkers()
	subject.worker('w2').startResults = [refused(Refusal.NoCapacity)]
	subject.submit(ID, jobOf(GANG))
	subject.run(SOON, ...WORKERS)
	const lines = subject.logLines.filter((line) => line.includes(`"${LeaderEvent.GangGivenUp}"`))
	assert.equal(lines.length, 1)
	const { reason, detail, worker, members } = JSON.parse(lines[0]) as Record<string, unknown>
	assert.deepEqual(
		{ reason, detail, worker, members },
		{
			reason: 'refused',
			detail: 'room',
			worker: 'w2',
			members: 3,
		}
	)
})
