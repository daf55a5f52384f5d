/** What an applied command has changed, as reported to the controller on the leader. */
import type { CellConfiguration, Worker } from '../records/Cell'
import type { RunEnd, TaskName } from '../records/Job'
import type { JobRecord } from './JobRecord'
import type { LostWorker } from './TaskCrashes'

/** One change of the state of a cell. @public */
export type Change =
	| { readonly kind: 'configured'; readonly configuration: CellConfiguration }
	| { readonly kind: 'job-accepted'; readonly job: JobRecord }
	/** The job has completed, failed or been cancelled. */
	| { readonly kind: 'job-ended'; readonly job: JobRecord }
	| {
			readonly kind: 'run-begun'
			readonly task: TaskName
			readonly attempt: number
			readonly worker: string
	  }
	/** A committed run did not start, because its task or its worker no longer allows it. */
	| {
			readonly kind: 'run-void'
			readonly task: TaskName
			readonly attempt: number
			readonly worker: string
	  }
	| {
			readonly kind: 'run-ended'
			readonly task: TaskName
			readonly attempt: number
			readonly worker: string
			readonly how: RunEnd
	  }
	/** A crash of a worker was counted against a task; `crashed` lists all such workers. */
	| {
			readonly kind: 'crash-counted'
			readonly task: TaskName
			readonly worker: string
			readonly crashed: readonly LostWorker[]
	  }
	/**
	 * The fate of a worker that a task had lost is known, so the task may be allowed to start again.
	 */
	| { readonly kind: 'task-cleared'; readonly task: TaskName }
	/**
	 * An abandoned run turned out to be done, which counts for its task. A later run may still be
	 * running.
	 */
	| { readonly kind: 'task-done'; readonly task: TaskName }
	| { readonly kind: 'worker-joined'; readonly worker: Worker }
	| { readonly kind: 'worker-draining'; readonly worker: string }
	| { readonly kind: 'worker-gone'; readonly worker: string }
