/** What an applied command has changed, told to the controller of the instance that leads. */
import type { CellConfiguration, Worker } from '../records/Cell'
import type { RunEnd, TaskName } from '../records/Job'
import type { JobRecord } from './JobRecord'
import type { LostWorker } from './TaskCrashes'

/** One change of the state. @public */
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
	/** A run was decided on and did not begin, because the task can't begin any more. */
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
	/** A worker has crashed under a task; `crashed` are all that have. */
	| {
			readonly kind: 'crash-counted'
			readonly task: TaskName
			readonly worker: string
			readonly crashed: readonly LostWorker[]
	  }
	/** More is known of workers that a task has lost, so it may begin where it could not. */
	| { readonly kind: 'task-cleared'; readonly task: TaskName }
	/** The true end of a run that had been given up has come, and its work counts. A later run may go on. */
	| { readonly kind: 'task-done'; readonly task: TaskName }
	| { readonly kind: 'worker-joined'; readonly worker: Worker }
	| { readonly kind: 'worker-draining'; readonly worker: string }
	| { readonly kind: 'worker-gone'; readonly worker: string }
