/** Decisions of the leader's controller, with workers that fail or misbehave. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { checkJob } from '../records/checkJob'
import { RunEnd } from '../records/Job'
import { CellState } from '../state/CellState'
import { LeaderSubject } from '../testing/LeaderSubject'
import { jobOf } from '../testing/samples'
import { DEFAULT_LEADER_TIMING } from './LeaderTiming'
import { Refusal } from './ports'

const ID = '00000000000000aa'
const OTHER = '00000000000000bb'
const THIRD = '00000000000000cc'
const URGENT = { name: 'urgent', prefix: '/urgent/', priority: 0 }
const LEASE_OVER = DEFAULT_LEADER_TIMING.lease * 1.03 + 1000

function stateOf(subject: LeaderSubject, id = ID): string | undefined {
	return subject.state.jobs.find(id)?.state
}

test('a run is committed before it is ordered, and its end before the worker may forget it', () => {
	const subject = new LeaderSubject()
	subject.heartbeat('w1')
	subject.submit(ID, jobOf({}))
	assert.ok(subject.proposals.committed.some((command) => command.kind === 'begin'))
	assert.equal(subject.worker('w1').starts.length, 1)
	subject.run(100, 'w1')
	subject.worker('w1').end(`${ID}.0.0.0`, RunEnd.Done)
	subject.run(1500, 'w1')
	assert.equal(stateOf(subject), 'completed')
	assert.equal(subject.worker('w1').polls[0].endsSeen, 0)
})

test('no worker is given more than its capacity', () => {
	const subject = new LeaderSubject()
	subject.heartbeat('w1')
	subject.submit(ID, jobOf({ count: 9 }))
	subject.run(300, 'w1')
	assert.equal(subject.worker('w1').running.length, 4)
})

test('an order without an answer is sent again under the same attempt', () => {
	const subject = new LeaderSubject()
	subject.heartbeat('w1')
	subject.worker('w1').isUnresponsive = true
	subject.submit(ID, jobOf({}))
	subject.run(500, 'w1')
	subject.worker('w1').isUnresponsive = false
	subject.run(1000, 'w1')
	const { starts } = subject.worker('w1')
	assert.ok(starts.length >= 2)
	assert.deepEqual([...new Set(starts.map((order) => order.attempt))], [1])
})

test('an order that was not carried is sent again at once, and is no evidence against its worker', () => {
	const subject = new LeaderSubject()
	subject.heartbeat('w1')
	subject.worker('w1').startResults = [{ kind: 'not-carried' }]
	subject.submit(ID, jobOf({}))
	subject.run(20, 'w1')
	const { starts } = subject.worker('w1')
	assert.deepEqual(
		starts.map((order) => order.attempt),
		[1, 1]
	)
	subject.submit(OTHER, jobOf({}))
	assert.equal(starts.length, 3)
})

test('after an order that was not carried, a refusal does not prove that the run will not start there', () => {
	const subject = new LeaderSubject()
	subject.heartbeat('w1')
	const unwell = { kind: 'refused', reason: Refusal.Unhealthy } as const
	subject.worker('w1').startResults = [{ kind: 'not-carried' }, unwell]
	subject.worker('w1').stopDelay = 10_000
	subject.submit(ID, jobOf({}))
	subject.heartbeat('w2')
	subject.run(1500, 'w1', 'w2')
	// The carrying instance may still deliver the order; it is void once the worker has been ordered
	// to stop the run.
	assert.equal(subject.worker('w1').stops.length, 1)
	const starts = ['w1', 'w2'].flatMap((id) => subject.worker(id).starts)
	assert.equal(starts.filter((order) => order.attempt === 2).length, 1)
})

test('a run that is cancelled while its start is unconfirmed is stopped, although the repeated order is refused', () => {
	const subject = new LeaderSubject()
	subject.heartbeat('w1')
	const { starts, stops } = subject.worker('w1')
	const unwell = { kind: 'refused', reason: Refusal.Unhealthy } as const
	subject.worker('w1').startResults = [{ kind: 'unknown', message: 'no answer' }, unwell]
	subject.submit(ID, jobOf({}))
	while (starts.length < 2) subject.run(20)
	subject.call({ kind: 'cancel', to: { id: ID } })
	subject.run(300, 'w1')
	assert.equal(stops.length, 1)
})

test('a poll that was not carried is sent again at once', () => {
	const subject = new LeaderSubject()
	subject.heartbeat('w1')
	subject.submit(ID, jobOf({}))
	subject.run(100, 'w1')
	subject.worker('w1').notCarried = 1
	const { polls } = subject.worker('w1')
	const before = polls.length
	subject.run(540, 'w1')
	assert.ok(polls.length >= before + 2)
})

test('runs of an unreachable worker start elsewhere only after its lease has certainly expired', () => {
	const subject = new LeaderSubject()
	subject.heartbeat('w1')
	subject.submit(ID, jobOf({}))
	subject.run(100, 'w1')
	subject.heartbeat('w2')
	subject.worker('w1').isUnresponsive = true
	subject.run(DEFAULT_LEADER_TIMING.lease - 200, 'w1', 'w2')
	assert.equal(subject.worker('w2').starts.length, 0)
	subject.run(LEASE_OVER, 'w1', 'w2')
	assert.equal(subject.worker('w2').starts[0].attempt, 2)
})

test('the lease of an unreachable worker is not renewed, and the worker is polled again although no run is left on it', () => {
	const subject = new LeaderSubject()
	subject.heartbeat('w1')
	subject.submit(ID, jobOf({}))
	subject.run(100, 'w1')
	subject.worker('w1').isUnresponsive = true
	subject.run(LEASE_OVER * 2, 'w1')
	assert.equal(subject.worker('w1').polls.at(-1)?.leaseUntil, undefined)
	const polls = subject.worker('w1').polls.length
	subject.run(1000, 'w1')
	assert.ok(subject.worker('w1').polls.length > polls)
})

test('a new incarnation at the same address ends what ran there at once', () => {
	const subject = new LeaderSubject()
	subject.heartbeat('w1', { address: 'h:1' })
	subject.submit(ID, jobOf({}))
	subject.worker('w1').replaced = true
	subject.heartbeat('w2', { address: 'h:1' })
	subject.run(100)
	assert.equal(subject.worker('w2').starts[0].attempt, 2)
	subject.heartbeat('w1', { address: 'h:1' })
	assert.equal(subject.state.workers.find('w1'), undefined)
})

test('a heartbeat that arrives after its sender was replaced ends nothing at that address', () => {
	const subject = new LeaderSubject()
	subject.heartbeat('new', { address: 'h:1' })
	subject.submit(ID, jobOf({}))
	subject.run(100, 'new')
	// Delayed by a network partition: the leader does not know its sender.
	subject.heartbeat('old', { address: 'h:1' })
	subject.run(3000, 'new')
	assert.notEqual(subject.state.workers.find('new'), undefined)
	assert.equal(subject.worker('new').starts.length, 1)
	assert.equal(subject.worker('old').starts.length, 0)
	assert.ok(subject.state.workers.isGone('old'))
})

test('while an address does not answer, neither of two incarnations there counts as ended', () => {
	const subject = new LeaderSubject()
	subject.heartbeat('w1', { address: 'h:1' })
	subject.submit(ID, jobOf({}))
	subject.run(100, 'w1')
	subject.worker('w1').isUnresponsive = true
	subject.heartbeat('w2', { address: 'h:1' })
	subject.run(1000)
	assert.notEqual(subject.state.workers.find('w1'), undefined)
	assert.equal(subject.state.workers.isGone('w2'), false)
	assert.equal(subject.startCount, 1)
})

test('when a worker of a data centre is unreachable, the others get no work until they have answered', () => {
	const subject = new LeaderSubject()
	for (const id of ['w1', 'w2', 'w3']) subject.heartbeat(id)
	subject.heartbeat('far', { dataCentre: 'isani' })
	subject.run(700, 'w1', 'w2', 'w3', 'far')
	subject.submit(ID, jobOf({}))
	subject.run(100, 'w1', 'w2', 'w3', 'far')
	const [busy] = ['w1', 'w2', 'w3'].filter((id) => subject.worker(id).starts.length > 0)
	const idle = ['w1', 'w2', 'w3'].filter((id) => id !== busy)
	for (const id of [busy, ...idle]) subject.worker(id).isUnresponsive = true
	// Only the busy worker is polled, so there is no other news of the idle ones.
	subject.run(1000)
	subject.submit(OTHER, jobOf({ count: 4 }))
	subject.run(100)
	for (const id of idle) assert.equal(subject.worker(id).starts.length, 0)
	assert.equal(stateOf(subject, OTHER), 'running')
	for (const id of idle) subject.worker(id).isUnresponsive = false
	subject.run(1000, ...idle, 'far')
	subject.submit(THIRD, jobOf({ count: 4 }))
	subject.run(100, ...idle, 'far')
	assert.ok(idle.some((id) => subject.worker(id).starts.length > 0))
})

test('a step that allows copies starts elsewhere at once', () => {
	const subject = new LeaderSubject()
	subject.heartbeat('w1')
	subject.submit(ID, jobOf({ copies: true }))
	subject.run(100, 'w1')
	subject.worker('w1').isUnresponsive = true
	subject.heartbeat('w2')
	subject.run(2000, 'w2')
	assert.equal(subject.worker('w2').starts.length, 1)
})

test('a single lost answer does not start a copy elsewhere', () => {
	const subject = new LeaderSubject()
	subject.heartbeat('w1')
	subject.submit(ID, jobOf({ copies: true }))
	subject.run(100, 'w1')
	subject.heartbeat('w2')
	subject.worker('w1').lostPolls = 1
	subject.run(2000, 'w1', 'w2')
	assert.equal(subject.worker('w1').lostPolls, 0)
	assert.equal(subject.worker('w2').starts.length, 0)
})

test('a new leader polls a large number of workers in small batches', () => {
	const subject = new LeaderSubject()
	const ids = Array.from({ length: 200 }, (_, number) => `w${number}`)
	for (const id of ids) subject.heartbeat(id)
	subject.lead()
	const polled = (): number => ids.filter((id) => subject.worker(id).polls.length > 0).length
	subject.run(20)
	assert.ok(polled() > 0 && polled() <= 20, `${polled()} at once`)
	subject.run(400)
	assert.equal(polled(), ids.length)
})

test('workers whose state is known are all polled in the same tick', () => {
	const subject = new LeaderSubject()
	const ids = Array.from({ length: 700 }, (_, number) => `w${number}`)
	for (const id of ids) subject.heartbeat(id)
	subject.submit(ID, jobOf({ count: 700, mostPerWorker: 1 }))
	subject.run(1000, ...ids)
	const before = ids.map((id) => subject.worker(id).polls.length)
	// All of their polls time out at the same moment.
	subject.run(DEFAULT_LEADER_TIMING.longPollWait + 20, ...ids)
	const again = ids.filter((id, number) => subject.worker(id).polls.length > before[number])
	assert.equal(again.length, ids.length)
})

test('polls wait longer in a cell of many workers', () => {
	const waitAmong = (count: number): number | undefined => {
		const subject = new LeaderSubject()
		for (let number = 0; number < count; number++) subject.heartbeat(`w${number}`)
		subject.submit(ID, jobOf({}))
		subject.run(200, 'w0')
		const ids = Array.from({ length: count }, (_, number) => `w${number}`)
		return ids.flatMap((id) => subject.worker(id).polls).find(({ wait }) => wait > 0)?.wait
	}
	assert.equal(waitAmong(99), DEFAULT_LEADER_TIMING.pollWait)
	assert.equal(waitAmong(100), DEFAULT_LEADER_TIMING.longPollWait)
})

test('a new leader sends no orders to a worker whose runs it does not know', () => {
	const subject = new LeaderSubject({ advice: { base: 20, each: 1, valid: 5000 } })
	subject.heartbeat('w1')
	subject.submit(ID, jobOf({}))
	subject.run(100, 'w1')
	const worker = subject.worker('w1')
	worker.running = []
	worker.isUnresponsive = true
	subject.lead()
	subject.run(600, 'w1')
	assert.equal(worker.starts.length, 1)
	worker.isUnresponsive = false
	subject.run(600, 'w1')
	// It never started, and its ticket was lost with the earlier leader, so it is placed again.
	assert.deepEqual(
		worker.starts.map((order) => [order.attempt, order.ticket]),
		[
			[1, 'ticket-w1'],
			[2, 'ticket-w1'],
		]
	)
})

test('a worker whose run was abandoned gets no work before it has stopped that run', () => {
	const large = { cpu: 3000, memory: 10, accelerators: 0 }
	const subject = new LeaderSubject()
	subject.heartbeat('w1')
	subject.submit(ID, jobOf({ copies: true, need: large }))
	subject.run(100, 'w1')
	const { running } = subject.worker('w1')
	subject.worker('w1').isUnresponsive = true
	subject.heartbeat('w2')
	subject.run(1800, 'w2')
	// It answers again and carries out the order late: the run is not listed at first, then it is.
	subject.worker('w1').running = []
	subject.worker('w1').isUnresponsive = false
	const before = subject.worker('w1').starts.length
	subject.submit(OTHER, jobOf({ count: 4, need: large }))
	subject.run(20, 'w1', 'w2')
	subject.worker('w1').running = [...running]
	subject.run(20, 'w1', 'w2')
	const cpu = subject.worker('w1').running.length * large.cpu
	assert.ok(cpu <= 4000, `${cpu} of 4000 used`)
	subject.run(3000, 'w1', 'w2')
	assert.ok(subject.worker('w1').stops.some((order) => order.task.startsWith(ID)))
	assert.ok(subject.worker('w1').starts.length > before)
	assert.equal(subject.worker('w1').running.length, 1)
})

test('a refusal frees the capacity, and nothing is stopped when it was the only order', () => {
	const subject = new LeaderSubject()
	subject.heartbeat('w1')
	subject.worker('w1').startResult = { kind: 'refused', reason: Refusal.Invalid }
	subject.submit(ID, jobOf({}))
	subject.worker('w1').startResult = undefined
	subject.run(600, 'w1')
	assert.equal(subject.worker('w1').running.length, 1)
	assert.equal(subject.worker('w1').running[0].attempt, 2)
	assert.equal(subject.worker('w1').stops.length, 0)
})

test('a failed task starts again on another worker, also if the first one has more free capacity', () => {
	const subject = new LeaderSubject()
	subject.heartbeat('w1')
	subject.submit(ID, jobOf({}))
	subject.heartbeat('w2', { capacity: { cpu: 8000, memory: 8192, accelerators: 0 } })
	subject.run(100, 'w1', 'w2')
	subject.worker('w1').end(`${ID}.0.0.0`, RunEnd.Failed)
	subject.run(700, 'w1', 'w2')
	assert.equal(subject.worker('w2').starts[0].attempt, 2)
})

test('a worker that has obeyed a later leader deposes this one', () => {
	const subject = new LeaderSubject()
	subject.heartbeat('w1')
	subject.worker('w1').startResult = { kind: 'refused', reason: Refusal.Fence }
	subject.submit(ID, jobOf({}))
	assert.equal(subject.deposed, true)
})

test('a new leader adopts the running tasks, orders again those that are not listed, and none twice', () => {
	const subject = new LeaderSubject()
	subject.heartbeat('w1')
	subject.submit(ID, jobOf({ count: 2 }))
	subject.run(100, 'w1')
	// One of the two never started.
	subject.worker('w1').running = subject.worker('w1').running.slice(0, 1)
	const before = [...subject.worker('w1').starts]
	subject.lead()
	subject.run(1000, 'w1')
	const again = subject.worker('w1').starts.slice(before.length)
	assert.deepEqual(
		again.map((order) => [order.task, order.attempt]),
		[[`${ID}.0.0.1`, 1]]
	)
	assert.ok(before.every((order) => order.fence < again[0].fence))
})

test('a new leader does not order a run again while the end that its worker lists is being committed', () => {
	const subject = new LeaderSubject()
	subject.heartbeat('w1')
	subject.submit(ID, jobOf({}))
	subject.run(20, 'w1')
	const worker = subject.worker('w1')
	worker.end(`${ID}.0.0.0`, RunEnd.Done)
	subject.lead()
	subject.proposals.held = true
	subject.run(400)
	assert.equal(worker.starts.length, 1)
	subject.proposals.held = false
	subject.proposals.commit()
	assert.equal(stateOf(subject), 'completed')
})

test('a worker with an unexpected run gets no work until the run has stopped, also under a new leader', () => {
	const subject = new LeaderSubject()
	subject.heartbeat('w1')
	const worker = subject.worker('w1')
	worker.running = [{ task: `${OTHER}.0.0.0`, attempt: 1, checkpoint: '', percent: 0, measure: 0 }]
	worker.stopDelay = 200
	subject.lead()
	subject.submit(ID, jobOf({}))
	assert.equal(subject.startCount, 0)
	subject.run(100, 'w1')
	assert.deepEqual(
		worker.stops.map((order) => order.task),
		[`${OTHER}.0.0.0`]
	)
	assert.equal(subject.startCount, 0)
	subject.run(600, 'w1')
	assert.equal(subject.startCount, 1)
})

test('work of lower priority leaves capacity for urgent work', () => {
	const subject = new LeaderSubject()
	subject.configure({ priority: 2 }, URGENT)
	subject.heartbeat('w1')
	subject.submit(ID, jobOf({ count: 4 }))
	subject.run(100, 'w1')
	assert.equal(subject.startCount, 3)
	subject.submit(OTHER, jobOf({ count: 1 }), URGENT.name)
	subject.run(100, 'w1')
	assert.equal(subject.startCount, 4)
})

test('urgent work without free capacity preempts runs that can resume from a checkpoint, and no more than it needs', () => {
	const subject = new LeaderSubject()
	subject.configure({ priority: 2 }, URGENT)
	subject.heartbeat('w1')
	const half = { cpu: 1500, memory: 512, accelerators: 0 }
	subject.submit(ID, jobOf({ count: 2, need: half, checkpoints: true }))
	subject.run(100, 'w1')
	subject.submit(OTHER, jobOf({ count: 2 }), URGENT.name)
	subject.run(1000, 'w1')
	const { stops, starts } = subject.worker('w1')
	assert.equal(stops.length, 1)
	assert.equal(starts.filter((order) => order.task.startsWith(OTHER)).length, 2)
	const job = subject.state.jobs.find(ID)
	assert.deepEqual(job?.repeats[0][0].tasks.map((task) => task.status).sort(), [
		'placed',
		'waiting',
	])
})

test('runs without checkpoints are not preempted for urgent work', () => {
	const subject = new LeaderSubject({ priority: 2 })
	subject.heartbeat('w1')
	const half = { cpu: 1500, memory: 512, accelerators: 0 }
	subject.submit(ID, jobOf({ count: 2, need: half }))
	subject.run(100, 'w1')
	subject.configure({ priority: 0 })
	subject.submit(OTHER, jobOf({ count: 2 }))
	subject.run(1000, 'w1')
	assert.equal(subject.worker('w1').stops.length, 0)
})

test('a draining worker gets no new work, and its lasting work is moved at once', () => {
	const subject = new LeaderSubject()
	subject.heartbeat('w1')
	subject.submit(ID, jobOf({ lasting: true }))
	subject.submit(OTHER, jobOf({ count: 3 }))
	subject.run(100, 'w1')
	subject.heartbeat('w1', {}, true, 3000)
	subject.heartbeat('w2')
	subject.run(1500, 'w2')
	assert.equal(subject.worker('w1').stops.length, 1)
	assert.equal(subject.worker('w2').starts.length, 1)
	assert.equal(subject.worker('w2').starts[0].task, `${ID}.0.0.0`)
})

test('a cancelled job is stopped on all workers and not started again', () => {
	const subject = new LeaderSubject()
	subject.heartbeat('w1')
	subject.submit(ID, jobOf({ count: 6 }))
	subject.run(100, 'w1')
	assert.deepEqual(subject.call({ kind: 'cancel', to: { id: ID } }), { kind: 'noted' })
	const count = subject.worker('w1').starts.length
	subject.run(1500, 'w1')
	assert.equal(subject.worker('w1').stops.length, 4)
	assert.equal(subject.worker('w1').running.length, 0)
	assert.equal(subject.worker('w1').starts.length, count)
})

test('a gang starts as a whole or not at all', () => {
	const subject = new LeaderSubject()
	subject.heartbeat('w1')
	subject.submit(ID, jobOf({ count: 6, gang: true }))
	subject.run(500, 'w1')
	assert.equal(subject.worker('w1').starts.length, 0)
	subject.heartbeat('w2')
	subject.run(500, 'w1', 'w2')
	assert.equal(subject.startCount, 6)
})

test('a gang that requires a single rack is placed on one with enough capacity', () => {
	const subject = new LeaderSubject()
	subject.heartbeat('w1', { rack: 'r1' })
	subject.heartbeat('w2', { rack: 'r2' })
	subject.heartbeat('w3', { rack: 'r2' })
	subject.submit(ID, jobOf({ count: 6, gang: true, sameRack: true }))
	subject.run(100)
	assert.equal(subject.worker('w1').starts.length, 0)
	assert.equal(subject.startCount, 6)
})

test('labels, spread limits and the rack of the data are respected', () => {
	const subject = new LeaderSubject()
	subject.heartbeat('w1', { labels: ['a', 'r1'] })
	subject.heartbeat('w2', { labels: ['b', 'r2'], rack: 'r2' })
	subject.submit(ID, jobOf({ requires: 'b' }))
	subject.submit(OTHER, jobOf({ count: 4, mostPerWorker: 1 }))
	subject.submit(THIRD, jobOf({ rack: 'r2' }))
	subject.run(300, 'w1', 'w2')
	const of = (id: string, job: string): number =>
		subject.worker(id).starts.filter((order) => order.task.startsWith(job)).length
	assert.deepEqual([of('w1', ID), of('w2', ID)], [0, 1])
	assert.deepEqual([of('w1', OTHER), of('w2', OTHER)], [1, 1])
	assert.deepEqual([of('w1', THIRD), of('w2', THIRD)], [0, 1])
})

test('a step with advice starts only on allowed workers, with their tickets', () => {
	const subject = new LeaderSubject({ advice: { base: 20, each: 1, valid: 2500 } })
	subject.isAllowed = (id) => id === 'w2'
	for (const id of ['w1', 'w2', 'w3']) subject.heartbeat(id)
	subject.submit(ID, jobOf({ count: 3 }))
	subject.run(500, 'w1', 'w2', 'w3')
	assert.equal(subject.worker('w2').starts.length, 3)
	assert.equal(subject.startCount, 3)
	assert.equal(subject.worker('w2').starts[0].ticket, 'ticket-w2')
})

test('advice for the next step is requested when the first task of this one is done', () => {
	const subject = new LeaderSubject({ advice: { base: 20, each: 1, valid: 2500 } })
	subject.heartbeat('w1')
	subject.submit(ID, jobOf({ count: 2 }, { dependsOn: [0] }))
	subject.run(200, 'w1')
	subject.worker('w1').end(`${ID}.0.0.0`, RunEnd.Done)
	subject.run(900, 'w1')
	assert.ok(subject.questions.some(({ question }) => question.step === `${ID}.0.1`))
	assert.equal(subject.worker('w1').starts.length, 2)
})

test('best-effort work is throttled while it harms tail latency, and resumed afterwards', () => {
	const subject = new LeaderSubject()
	subject.heartbeat('w1')
	subject.submit(ID, jobOf({ lasting: true, latencyTarget: 100 }))
	subject.submit(OTHER, jobOf({ bestEffort: true }))
	subject.run(100, 'w1')
	const measure = (tail: number): void => {
		const fake = subject.worker('w1')
		fake.running = fake.running.map((run) =>
			run.task.startsWith(ID) ? { ...run, measure: tail } : run
		)
	}
	measure(120)
	subject.run(2000, 'w1')
	assert.equal(subject.worker('w1').paces.at(-1)?.percent, 0)
	measure(20)
	subject.run(5000, 'w1')
	assert.equal(subject.worker('w1').paces.at(-1)?.percent, 100)
})

test('each repeat starts when it is due', () => {
	const subject = new LeaderSubject()
	subject.heartbeat('w1')
	const first = subject.clock.date().getTime() + 1000
	subject.submit(ID, { ...jobOf({}), repeat: { count: 2, first, interval: 1000 } })
	subject.run(900, 'w1')
	assert.equal(subject.startCount, 0)
	subject.run(300, 'w1')
	assert.deepEqual(
		subject.worker('w1').starts.map((order) => order.task),
		[`${ID}.0.0.0`]
	)
	subject.run(1000, 'w1')
	assert.equal(subject.worker('w1').starts.at(-1)?.task, `${ID}.1.0.0`)
})

test('the number of kept jobs and tasks is bounded, whatever is submitted', () => {
	const findings = checkJob({
		...jobOf({ count: 2000 }, { count: 2000 }),
		repeat: { count: 1000, first: 0, interval: 1 },
	})
	assert.equal(findings.length, 1)
	const subject = new LeaderSubject()
	const large = { ...jobOf({ count: 2000 }), repeat: { count: 10, first: 1e15, interval: 1 } }
	const accepted = Array.from({ length: 20 }, (_, number) => {
		const reply = subject.submit(String(number).padStart(16, '0'), large)
		return reply?.kind === 'accepted'
	})
	assert.equal(accepted.filter(Boolean).length, 15)
	const refused = subject.submit('ffffffffffffffff', large)
	assert.ok(refused?.kind === 'not-run' && refused.reason === 'too many tasks')
	assert.equal(subject.submit(ID, jobOf({}))?.kind, 'not-run')
	assert.equal(subject.state.jobs.taskCount, 300_000)
	const copy = new CellState()
	copy.restore(subject.state.snapshot())
	assert.equal(copy.jobs.taskCount, 300_000)
})

test('the explanation of a job states why its steps wait, and lists show the job', () => {
	const subject = new LeaderSubject()
	subject.submit(ID, jobOf({ requires: 'none' }, { dependsOn: [0] }))
	const reply = subject.call({ kind: 'explain-job', id: ID })
	assert.ok(reply?.kind === 'explanation')
	assert.match(reply.explanation.steps[0].reason, /no open worker/)
	assert.match(reply.explanation.steps[1].reason, /earlier steps/)
	const list = subject.call({ kind: 'list-jobs', filter: { state: 'queued', most: 5 } })
	assert.ok(list?.kind === 'jobs' && list.jobs.length === 1)
})

test('a step that no worker may run reports so, and advice is requested again only for workers that join', () => {
	const subject = new LeaderSubject({ advice: { base: 20, each: 1, valid: 2000 } })
	subject.isAllowed = (worker) => worker === 'w3'
	for (const id of ['w1', 'w2']) subject.heartbeat(id)
	subject.submit(ID, jobOf({}))
	subject.run(6000, 'w1', 'w2')
	assert.equal(subject.questions.length, 1)
	const reply = subject.call({ kind: 'explain-job', id: ID })
	assert.ok(reply?.kind === 'explanation')
	assert.match(reply.explanation.steps[0].reason, /allows none of 2 open workers/)
	assert.equal(stateOf(subject), 'queued')
	subject.heartbeat('w3')
	subject.run(1000, 'w1', 'w2', 'w3')
	assert.deepEqual(subject.questions.at(-1)?.question.workers, ['w3'])
	assert.equal(subject.worker('w3').starts.length, 1)
})

test('a run of a cancelled job that appears later is stopped by the leader at that time', () => {
	const subject = new LeaderSubject()
	subject.heartbeat('w1')
	subject.submit(OTHER, jobOf({}))
	subject.submit(ID, jobOf({}))
	subject.run(100, 'w1')
	subject.call({ kind: 'cancel', to: { id: ID } })
	subject.run(1500, 'w1')
	subject.lead()
	subject.run(1000, 'w1')
	const task = `${ID}.0.0.0`
	subject.worker('w1').running.push({ task, attempt: 2, checkpoint: '', percent: 0, measure: 0 })
	subject.run(1500, 'w1')
	assert.ok(!subject.worker('w1').running.some((run) => run.task === task))
	assert.equal(subject.worker('w1').running.length, 1)
})

test('a lasting task without a run starts again at once, however full the service is', () => {
	const subject = new LeaderSubject()
	const whole = { cpu: 4000, memory: 512, accelerators: 0 }
	subject.heartbeat('w1')
	subject.submit(ID, jobOf({ need: whole, lasting: true }))
	subject.run(300, 'w1')
	subject.heartbeat('w2')
	subject.submit(OTHER, jobOf({ count: 9, need: whole, expectedTime: 3000 }))
	subject.run(300, 'w1', 'w2')
	subject.worker('w1').end(`${ID}.0.0.0`, RunEnd.Failed)
	subject.run(6000, 'w1', 'w2')
	const runs = [...subject.worker('w1').running, ...subject.worker('w2').running]
	assert.ok(runs.some(({ task }) => task === `${ID}.0.0.0`))
})
