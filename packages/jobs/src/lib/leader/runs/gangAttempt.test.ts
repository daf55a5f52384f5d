/** Tests that a gang starts as a whole or not at all, whatever prevents a member from starting. */
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
/** Each member takes a whole worker. */
const GANG = { count: 3, gang: true, need: { cpu: 4000, memory: 512, accelerators: 0 } }
/**
 * Milliseconds after which started members are still waiting for the others, with a wide margin.
 */
const SHORT_WAIT_MS = 600
/** Milliseconds that an unanswered call and its repetition take beyond `SHORT_WAIT_MS`. */
const UNANSWERED_CALL_MS = 500

function refused(reason: Refusal): OrderResult {
	return { kind: 'refused', reason }
}

/** @returns a leader with three workers on which members wait for each other without progress. */
function threeWorkers(): LeaderSubject {
	const subject = new LeaderSubject()
	for (const id of WORKERS) {
		subject.heartbeat(id)
		subject.worker(id).progressPerPoll = 0
	}
	return subject
}

/** @returns the workers that were ordered to stop their members of the first attempt. */
function stopped(subject: LeaderSubject): string[] {
	const isFirst = ({ attempt }: { readonly attempt: number }): boolean => attempt === 1
	return WORKERS.filter((id) => subject.worker(id).stops.some(isFirst))
}

/** @returns the workers that were ordered to start members of an attempt. */
function started(subject: LeaderSubject, attempt: number): string[] {
	return WORKERS.filter((id) =>
		subject.worker(id).starts.some((start) => start.attempt === attempt)
	)
}

// Guards against partly started gangs: the started members kept waiting for the one that was
// refused.
test('the other members of a gang are stopped at once when the start of one is refused', () => {
	const subject = threeWorkers()
	subject.worker('w2').startResults = [refused(Refusal.Ticket)]
	subject.submit(ID, jobOf(GANG))
	subject.run(SHORT_WAIT_MS, ...WORKERS)
	assert.deepEqual(stopped(subject), OTHERS)
})

interface Row {
	readonly what: string
	/** Results of the start orders to the second worker. */
	readonly results: OrderResult[]
	/** Milliseconds beyond `SHORT_WAIT_MS` by which the others must be stopped. */
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
		later: UNANSWERED_CALL_MS,
	},
	{
		what: 'is not delivered, and is refused when it is sent again',
		results: [{ kind: 'not-carried' }, refused(Refusal.Unhealthy)],
	},
	{ what: 'reaches another incarnation', results: [{ kind: 'other-incarnation' }] },
	{
		what: 'is refused as late again and again',
		results: Array<OrderResult>(30).fill(refused(Refusal.LeaseExpired)),
		later: DEFAULT_LEADER_TIMING.gangWait - SHORT_WAIT_MS - UNANSWERED_CALL_MS,
	},
]

for (const { what, results, later = 0 } of NOT_STARTED) {
	test(`if the start of a member ${what}, the others are stopped before their workers abandon them`, () => {
		const subject = threeWorkers()
		subject.worker('w2').startResults = [...results]
		subject.submit(ID, jobOf(GANG))
		subject.run(SHORT_WAIT_MS + later, ...WORKERS)
		assert.deepEqual(
			stopped(subject).filter((id) => OTHERS.includes(id)),
			OTHERS
		)
	})
}

test('the next attempt starts once the last member of the previous one has ended', () => {
	const subject = threeWorkers()
	subject.worker('w2').startResults = [refused(Refusal.Ticket)]
	subject.submit(ID, jobOf(GANG))
	subject.run(DEFAULT_LEADER_TIMING.gangWait, ...WORKERS)
	assert.deepEqual(started(subject, 2), WORKERS)
	assert.equal(WORKERS.flatMap((id) => subject.worker(id).running).length, GANG.count)
})

test('a member on an unresponsive worker delays the others no longer than they may wait', () => {
	const subject = threeWorkers()
	subject.worker('w2').isUnresponsive = true
	subject.submit(ID, jobOf(GANG))
	subject.run(DEFAULT_LEADER_TIMING.gangWait, ...WORKERS)
	assert.deepEqual(stopped(subject), OTHERS)
})

test('a gang does not start if one of its workers has ended since the decision', () => {
	const subject = threeWorkers()
	subject.proposals.held = true
	subject.submit(ID, jobOf(GANG))
	subject.run(40)
	subject.worker('w2').replaced = true
	subject.proposals.held = false
	// The end of the worker is committed before the start of the gang.
	subject.state.workers.remove('w2')
	subject.proposals.commit()
	subject.run(SHORT_WAIT_MS, ...OTHERS)
	assert.deepEqual(started(subject, 1), [])
})

test('a member that had not reached its worker when the leader changed is abandoned with the others', () => {
	const subject = threeWorkers()
	const lost: OrderResult = { kind: 'unknown', message: 'no answer' }
	subject.worker('w2').startResults = Array<OrderResult>(30).fill(lost)
	subject.submit(ID, jobOf(GANG))
	subject.run(100, ...WORKERS)
	subject.worker('w2').startResults = []
	subject.lead()
	subject.run(SHORT_WAIT_MS, ...WORKERS)
	assert.deepEqual(
		stopped(subject).filter((id) => OTHERS.includes(id)),
		OTHERS
	)
	assert.deepEqual(started(subject, 2), WORKERS)
})

test('the next leader does not touch a running gang', () => {
	const subject = threeWorkers()
	subject.submit(ID, jobOf(GANG))
	for (const id of WORKERS) subject.worker(id).progressPerPoll = 3
	subject.run(2000, ...WORKERS)
	subject.lead()
	subject.run(DEFAULT_LEADER_TIMING.gangWait + SHORT_WAIT_MS, ...WORKERS)
	assert.deepEqual(stopped(subject), [])
	assert.deepEqual(started(subject, 2), [])
})

test('the end of a started member stops the one whose start is in progress', () => {
	const subject = threeWorkers()
	subject.worker('w2').isUnresponsive = true
	subject.submit(ID, jobOf(GANG))
	subject.run(100, ...WORKERS)
	subject.worker('w1').end(`${ID}.0.0.0`, 'failed')
	subject.worker('w2').isUnresponsive = false
	subject.run(1500, ...WORKERS)
	assert.ok(stopped(subject).includes('w2'))
})

test('a log line names the member that kept a gang from starting', () => {
	const subject = threeWorkers()
	subject.worker('w2').startResults = [refused(Refusal.NoCapacity)]
	subject.submit(ID, jobOf(GANG))
	subject.run(SHORT_WAIT_MS, ...WORKERS)
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
