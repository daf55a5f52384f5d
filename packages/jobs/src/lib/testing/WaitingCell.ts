/**
 * Measures how long a task waits in sum when the cause never goes away and the leader changes.
 *
 * The bounds are the platform's: 14 s after the last event a task whose turn has come has a run,
 * and is in default 3 s after that; a lasting task 6 s after its last run, and 3 s, unless the 7 s
 * before were disturbed.
 */
import assert from 'node:assert/strict'
import type { Queue, Worker } from '../records/Cell'
import type { JobRequest, Step } from '../records/Job'
import type { OrderResult } from '../leader/ports'
import { LeaderSubject, type FakeWorker } from './LeaderSubject'
import { jobOf } from './samples'

/** The job that waits, and its first task. */
export const ID = '00000000000000aa'
export const TASK = `${ID}.0.0.0`
const TICK_MS = 20
const BEAT_MS = 1000
/** The platform's `finish_s` and 3 s more: a task that could run has a run by then. */
export const FINISH_MS = 14_000 + 3000
/** Of a long-running task: from the end of its last run until it is at work again. */
export const LASTING_MS = 6000 + 3000
const CALM_MS = 3000 + 4000
/** Waits that are longer count as without end. */
const LONGEST_MS = 60_000
const CHANGES = 3
/** How long before a wait would have ended the leader changes. */
const BEFORE_END_MS = 60
/** Moments of changes of leader after the cause. */
const FIXED: readonly (readonly number[])[] = [
	[],
	[3000, 6000, 9000],
	[4100, 8200, 12_300],
	[10_000, 20_000, 30_000],
]

/** A cell whose workers can be lost for good. */
export class WaitingCell {
	readonly subject: LeaderSubject
	readonly up = new Set<string>()

	constructor(queue: Partial<Queue> = {}) {
		this.subject = new LeaderSubject({ maxAttempts: 4, ...queue })
	}

	/** Adds workers of this data centre, w1 and the following. */
	join(count: number, dataCentre = 'vake', changes: Partial<Worker> = {}): this {
		for (let number = 0; number < count; number++) {
			const id = `w${this.up.size + 1}`
			this.up.add(id)
			this.subject.heartbeat(id, { dataCentre, ...changes })
		}
		return this
	}

	run(span: number, isOver: () => boolean = () => false): number {
		const { clock, controller } = this.subject
		const since = clock.now()
		while (clock.now() - since < span && !isOver()) {
			if (Math.floor(clock.now() / TICK_MS) % (BEAT_MS / TICK_MS) === 0) this.beat()
			clock.advance(TICK_MS)
			controller.tick()
		}
		return clock.now() - since
	}

	private beat(): void {
		for (const id of this.up) this.subject.heartbeat(id)
	}

	worker(id: string): FakeWorker {
		return this.subject.worker(id)
	}

	/** Loses a worker for good. */
	end(id: string): void {
		this.up.delete(id)
		this.worker(id).isUnresponsive = true
		this.worker(id).running = []
	}

	/** The first of the workers that are up, half of them. */
	get half(): readonly string[] {
		const up = [...this.up]
		return up.slice(0, up.length / 2)
	}

	submit(job: JobRequest, id = ID): void {
		const reply = this.subject.submit(id, job)
		assert.ok(reply?.kind !== 'not-run', JSON.stringify(reply))
	}

	workerOf(task = TASK): string {
		return this.subject.state.jobs.locate(task)!.task.worker
	}

	/** The worker that is up and runs a task. */
	runnerOf(task = TASK): string | undefined {
		return [...this.up].find((id) => this.worker(id).running.some((run) => run.task === task))
	}

	/** Whether all tasks of the first step of a job have a run. */
	isAtWork(id = ID, count = 1): boolean {
		const tasks = Array.from({ length: count }, (_, index) => `${id}.0.0.${index}`)
		return tasks.every((task) => this.runnerOf(task) !== undefined)
	}

	/** Runs until a task has run for a while. @returns its worker. */
	start(task = TASK, settled = 1500): string {
		this.run(10_000, () => this.runnerOf(task) !== undefined)
		const runner = this.runnerOf(task)
		assert.ok(runner !== undefined, `${task} did not start`)
		this.run(settled)
		return runner
	}

	reason(): string {
		const reply = this.subject.call({ kind: 'explain-job', id: ID })
		return reply?.kind === 'explanation' ? reply.explanation.steps[0].reason : ''
	}
}

/** A reason to wait whose cause never goes away. */
export interface Wait {
	readonly row: string
	readonly cause: string
	/** Creates a cell in which the cause has just begun. */
	readonly begin: () => WaitingCell
	/** Whether the wait is over; one run of the first task if absent. */
	readonly isOver?: (cell: WaitingCell) => boolean
	readonly lasting?: boolean
	/** Milliseconds from the cause to the turn of the task. */
	readonly dueIn?: number
}

/** How long a wait took under changes of leader, in milliseconds. */
interface Measured {
	readonly changes: readonly number[]
	readonly took: number
	readonly limit: number
	readonly told: string
}

/** Measures with changes of leader at moments after the cause, in milliseconds. */
function measure(wait: Wait, changes: readonly number[]): Measured {
	const { isOver = (one: WaitingCell) => one.isAtWork(), lasting, dueIn = 0 } = wait
	const cell = wait.begin()
	let took = 0
	let changed = 0
	for (const at of [...changes, LONGEST_MS]) {
		took += cell.run(at - took, () => isOver(cell))
		if (isOver(cell) || at === LONGEST_MS) break
		changed = at
		cell.subject.lead()
	}
	const calm = lasting && changed > 0 ? changed + CALM_MS : 0
	const limit = Math.max(dueIn + (lasting ? LASTING_MS : FINISH_MS), calm)
	return { changes, took, limit, told: took > limit ? cell.reason() : '' }
}

/** Measures with changes of leader each of which is just before the wait would have ended. */
function measureWorst(wait: Wait): Measured {
	const changes: number[] = []
	let last = measure(wait, changes)
	while (changes.length < CHANGES && last.took < LONGEST_MS) {
		const at = Math.max(last.took - BEFORE_END_MS, (changes.at(-1) ?? 0) + TICK_MS)
		changes.push(Math.ceil(at / TICK_MS) * TICK_MS)
		last = measure(wait, [...changes])
	}
	return last
}

/** @returns a text for people. */
function tell({ changes, took, limit, told }: Measured): string {
	const never = took >= LONGEST_MS ? 'never' : `${took} ms`
	const over = took > limit ? ` OVER ${limit}: ${told}` : ''
	return `[${changes.join(' ')}] ${never}${over}`
}

/** Measures under all changes of leader, without any at first. */
function measureAll(wait: Wait): Measured[] {
	return [...FIXED.map((changes) => measure(wait, changes)), measureWorst(wait)]
}

/** A step of which some tasks are first placed on a worker that does not work. */
export const SPREAD = { count: 3, mostPerWorker: 1 }

/** The first of ten workers gives one result to each order to start, which it never carries out. */
export function badStarts(result: OrderResult, queue: Partial<Queue> = {}): WaitingCell {
	const cell = new WaitingCell(queue).join(10)
	cell.run(1000)
	cell.worker('w1').startResult = result
	cell.submit(jobOf(SPREAD))
	return cell
}

/** @returns whether all tasks of the step of {@link badStarts} have a run. */
export function isSpreadAtWork(cell: WaitingCell): boolean {
	return cell.isAtWork(ID, SPREAD.count)
}

/** Loses the worker of the task for good once it has run. */
export function loseWorker(step: Partial<Step>, cell: WaitingCell, settled = 1500): WaitingCell {
	cell.submit(jobOf(step))
	cell.end(cell.start(TASK, settled))
	return cell
}

/** @returns what took longer than its bound, as a text; empty if nothing did. */
export function findLateEnds(wait: Wait): string {
	const late = measureAll(wait).filter(({ took, limit }) => took > limit)
	return late.map((measured) => `${wait.row}, ${wait.cause}: ${tell(measured)}`).join('; ')
}
