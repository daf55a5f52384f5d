/** The policy of the product. */
import {
	Ledger,
	Placement,
	WorkerHealth,
	type LedgerWorker,
	type Task,
} from '@rillrudder/scheduler'
import { Random } from '@rillrudder/utils'
import { Policy, type Placed } from './Policy'

const MOST = 500

/** The policy of the product. */
export class OurPolicy extends Policy {
	readonly name = 'rillrudder'
	private readonly ledger: Ledger
	private readonly placement: Placement
	private readonly health = new WorkerHealth()
	private readonly closed = new Set<string>()

	constructor(seed: number) {
		super()
		const random = new Random(seed)
		this.ledger = new Ledger(random)
		this.placement = new Placement(this.ledger, random)
	}

	override get packed(): number {
		let free = 0
		for (const worker of this.ledger.all()) free += worker.free.cpu
		return 1 - free / Math.max(1, this.ledger.total.cpu)
	}

	override join(worker: Pick<LedgerWorker, 'id' | 'rack' | 'capacity' | 'slots'>): void {
		this.ledger.join(worker)
	}

	override lose(worker: string): void {
		this.ledger.setOpen(worker, false)
		this.closed.add(worker)
	}

	override submit(tasks: readonly Task[]): void {
		this.placement.submit(tasks)
	}

	override cancel(task: string): void {
		this.placement.cancel(task)
	}

	override ended(task: Task, worker: string, failed: boolean, runTime: number, now: number): void {
		this.placement.onEnded(task.id)
		if (failed) this.health.onFailure(worker, task.intent, now)
		else {
			this.health.onSuccess(worker, now)
			this.placement.estimator.recordRunTime(task, runTime)
		}
		if (!this.closed.has(worker)) this.ledger.setOpen(worker, this.health.isOpen(worker, now))
	}

	override decide(now: number): Placed[] {
		return this.placement
			.decide(now, MOST)
			.flatMap((decision) =>
				decision.kind === 'start' ? [{ task: decision.task, worker: decision.worker }] : []
			)
	}

	/** Closed workers are looked at again as time passes. */
	reopen(now: number): void {
		for (const worker of this.ledger.all()) {
			if (!this.closed.has(worker.id)) {
				this.ledger.setOpen(worker.id, this.health.isOpen(worker.id, now))
			}
		}
	}
}
