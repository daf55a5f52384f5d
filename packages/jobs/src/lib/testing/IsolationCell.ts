/** Test harness: a cell whose tasks are isolated, with traffic on each of its workers. */
import type { Step } from '../records/Job'
import type { TaskRecord } from '../state/JobRecord'
import type { LostWorker } from '../state/TaskCrashes'
import { jobOf } from './samples'
import { ID, TASK, WaitingCell } from './WaitingCell'

const BEAT_MS = 1000
/** From the start of a run until its worker is lost: well before it counts as settled. */
const STARTUP_MS = 140
/** Less than it takes a run to count as settled. */
const TRAFFIC_PERIOD_MS = 200

/** The beginning of the ids of the jobs with these runs. */
const TRAFFIC = '000000000001'

/** The need of tasks of which many fit on each worker. */
export const SMALL_NEED = { cpu: 100, memory: 64, accelerators: 0 }

/** A cell whose workers have their names as labels. */
export class IsolationCell extends WaitingCell {
	constructor(workers: number) {
		super()
		for (let number = 1; number <= workers; number++) {
			this.join(1, 'vake', { labels: [`w${number}`] })
			// No run ends or counts as stalled meanwhile.
			this.worker(`w${number}`).progressPerPoll = 0.1
		}
		this.run(BEAT_MS)
	}

	recordOf(task: string): TaskRecord {
		return this.subject.state.jobs.locate(task)!.task
	}

	isRunning(task: string): boolean {
		return this.runnerOf(task) !== undefined
	}

	isOn(worker: string, task: string): boolean {
		return this.subject.worker(worker).running.some((run) => run.task === task)
	}

	/** Runs until tasks have started, and loses their workers before they have settled. */
	loseDuringStartup(...tasks: string[]): void {
		this.run(5000, () => tasks.every((task) => this.isRunning(task)))
		this.run(STARTUP_MS)
		for (const task of tasks) this.end(this.workerOf(task))
	}

	/** Ends the runs of the job whose gang has lost a member. */
	breakGang(): void {
		for (const id of this.up) {
			const worker = this.worker(id)
			for (const { task } of worker.running) if (task.startsWith(ID)) worker.end(task, 'broken')
		}
	}

	/** Submits a job with a step of which each task has lost a worker, and lets this step begin. */
	submitWithCrashes(step: Partial<Step>, crashes: readonly LostWorker[]): void {
		const second = { ...step, count: crashes.length, dependsOn: [0] }
		this.subject.submit(ID, jobOf({ need: SMALL_NEED }, second))
		this.run(5000, () => this.isRunning(TASK))
		crashes.forEach((lost, index) => {
			this.recordOf(`${ID}.0.1.${index}`).crashed = [lost]
		})
		this.subject.worker(this.recordOf(TASK).worker).end(TASK, 'done')
	}

	/**
	 * Starts a short run of another job on each of some workers every {@link TRAFFIC_PERIOD_MS}, so
	 * that none of them admits an isolated task by itself.
	 */
	startTraffic(workers: Iterable<string> = this.up): void {
		let count = 0
		const start = (): void => {
			for (const id of workers) {
				const worker = this.subject.worker(id)
				for (const { task } of worker.running)
					if (task.startsWith(TRAFFIC)) worker.end(task, 'done')
				const job = `${TRAFFIC}${(count++).toString(16).padStart(4, '0')}`
				this.subject.submit(job, jobOf({ need: SMALL_NEED, requires: id }))
			}
			this.subject.clock.after(TRAFFIC_PERIOD_MS, start)
		}
		start()
	}

	/** Ids of the workers that were cordoned so far. */
	get cordons(): string[] {
		return this.subject.logLines
			.filter((line) => line.includes('"worker-cordoned"'))
			.map((line) => (JSON.parse(line) as { worker: string }).worker)
	}

	/** @returns what the job's caller is told about the wait of its second step. */
	explain(): string {
		const reply = this.subject.call({ kind: 'explain-job', id: ID })
		return reply?.kind === 'explanation' ? reply.explanation.steps[1].reason : ''
	}
}

/**
 * @param losses - how many workers the first task has lost just after its starts.
 * @returns a cell in which others start on each worker all the time.
 */
export function isolationCell(step: Partial<Step>, losses = 1): IsolationCell {
	const cell = new IsolationCell(8)
	cell.startTraffic()
	cell.submit(jobOf({ need: SMALL_NEED, ...step }))
	for (let count = 0; count < losses; count++) {
		cell.run(60_000, () => cell.isAtWork(ID, step.count))
		cell.loseDuringStartup(TASK)
		if (step.gang) cell.breakGang()
	}
	return cell
}
