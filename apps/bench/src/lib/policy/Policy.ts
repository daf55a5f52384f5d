/** A way to decide which waiting task starts where. */
import type { LedgerWorker, Task } from '@rillrudder/scheduler'

/** A task and the worker it starts on. */
export interface Placed {
	readonly task: Task
	readonly worker: string
}

/** A way to decide. */
export abstract class Policy {
	abstract readonly name: string
	/** Adds a worker. */
	abstract join(worker: Pick<LedgerWorker, 'id' | 'rack' | 'capacity' | 'slots'>): void
	/** A worker has failed: nothing runs there any more. */
	abstract lose(worker: string): void
	/** Takes one task, or all tasks of a gang. */
	abstract submit(tasks: readonly Task[]): void
	abstract cancel(task: string): void
	/** A task has ended. */
	abstract ended(task: Task, worker: string, failed: boolean, runTime: number, now: number): void
	abstract decide(now: number): Placed[]
	/** Share of the processors that is given away. */
	abstract readonly packed: number
}
