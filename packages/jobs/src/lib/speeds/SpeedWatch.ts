/** Learns the speeds of workers from what they list, and tells of those that are slow. */
import { Measure } from '@rillrudder/telemetry'
import type { LeaderContext } from '../leader/LeaderContext'
import { LeaderEvent } from '../leader/LeaderEvent'
import type { PollResult } from '../leader/ports'
import type { Run } from '../leader/runs/Run'
import { tellsOfWorker } from '../leader/runs/tellsOfWorker'
import { stepName } from '../leader/steps/StepWork'
import type { WorkerRegistry } from '../leader/workers/WorkerRegistry'
import type { WorkerView } from '../leader/workers/WorkerView'
import { RunEnd } from '../records/Job'
import type { UsefulnessOrder } from '../placement/UsefulnessOrder'
import { WorkerSpeeds } from './WorkerSpeeds'

/** Milliseconds between two estimates. */
const PERIOD = 1000
/** Milliseconds without progress from which a run stands still, or hasn't begun its work: that is no speed. */
const STANDS_AFTER = 300

/**
 * Watches the speeds of the workers.
 *
 * @internal
 */
export class SpeedWatch {
	private readonly speeds = new WorkerSpeeds()
	/** Runs whose end was listed: it is listed again, later on its worker's clock, until it is committed. */
	private readonly ended = new WeakSet<Run>()
	private due = 0

	constructor(
		private readonly context: LeaderContext,
		private readonly workers: WorkerRegistry,
		private readonly use: UsefulnessOrder
	) {}

	/** Takes what a worker has listed. */
	polled(view: WorkerView, { running, ended, clock }: PollResult & { kind: 'done' }): void {
		if (this.isDisturbed(view)) return
		for (const { task, attempt } of running) {
			const run = view.runs.get(task)
			if (run?.attempt === attempt) this.note(view, run, run.progress.observedDuration)
		}
		for (const { task, attempt, how } of ended) {
			const run = view.runs.get(task)
			if (run?.attempt !== attempt || how !== RunEnd.Done || this.ended.has(run)) continue
			this.ended.add(run)
			this.note(view, run, run.progress.getObservedDurationAtEnd(clock))
		}
	}

	/** A worker's life is over. */
	gone(worker: string): void {
		this.speeds.forget(worker)
	}

	/** Estimates the speeds anew when that is due. */
	tick(now: number): void {
		if (now < this.due) return
		this.due = now + PERIOD
		const { heeded, slow, notSlow } = this.speeds.assess(this.workers.size, now)
		for (const view of this.workers.all()) view.speed = this.speeds.speedOf(view.id)
		this.use.hasDifferingSpeeds = this.speeds.spread.heeded
		if (heeded !== undefined) this.tellSpread()
		for (const worker of slow) this.tell(LeaderEvent.WorkerSlow, worker, now)
		for (const worker of notSlow) this.tell(LeaderEvent.WorkerNotSlow, worker, now)
	}

	/** Sets the gauges of how many workers are slow and how far speeds are apart. */
	measure(): void {
		const { meter } = this.context
		meter.gauge(Measure.SlowWorkers, this.speeds.slowCount)
		meter.gauge(Measure.SlowestShare, this.speeds.spread.share)
	}

	/** Whether what a worker's runs show is not its own speed: they stand still, or have more than there is. */
	private isDisturbed({ id }: WorkerView): boolean {
		const { ledger, clock } = this.context
		return (
			this.workers.stalls.isStalled(id, clock.now()) || ledger.find(id)?.isOvercommitted === true
		)
	}

	private note(view: WorkerView, run: Run, milliseconds: number | undefined): void {
		if (milliseconds === undefined || !tellsOfWorker(run)) return
		if (run.progress.stalledForMs >= STANDS_AFTER) return
		const { job, repeat, step } = run.name
		// Away from its data a task takes longer, whatever the worker.
		const far = run.step.rack !== '' && run.step.rack !== view.worker.rack
		const group = `${stepName(job, repeat, step)}${far ? ' far' : ''}`
		this.speeds.note({ group, task: run.text }, view.id, milliseconds, this.context.clock.now())
	}

	private tellSpread(): void {
		const { reason, share } = this.speeds.spread
		const workers = this.workers.size
		this.context.log.info(LeaderEvent.SpeedsHeeded, { reason, share: rounded(share), workers })
	}

	private tell(event: LeaderEvent, worker: string, now: number): void {
		const known = this.speeds.find(worker)
		const speed = known && rounded(Math.exp(known.log))
		const error = known && rounded(known.error)
		const age = known && Math.round(now - known.at)
		const evidence = known && rounded(known.evidence)
		this.context.log.info(event, { worker, speed, error, evidence, age })
	}
}

function rounded(value: number): number {
	return Math.round(value * 100) / 100
}
