/** Learns the speeds of workers from the tasks that they list, and logs which workers are slow. */
import { Measure } from '@rillrudder/telemetry'
import type { LeaderContext } from '../leader/LeaderContext'
import { LeaderEvent } from '../leader/LeaderEvent'
import type { PollResult } from '../leader/ports'
import type { Run } from '../leader/runs/Run'
import { isWorkerSpeedSample } from '../leader/runs/isWorkerSpeedSample'
import { stepName } from '../leader/steps/StepWork'
import type { WorkerRegistry } from '../leader/workers/WorkerRegistry'
import type { WorkerView } from '../leader/workers/WorkerView'
import { RunEnd } from '../records/Job'
import type { UsefulnessOrder } from '../placement/UsefulnessOrder'
import { WorkerSpeeds } from './WorkerSpeeds'

/** Milliseconds between two estimates. */
const PERIOD_MS = 1000
/**
 * Milliseconds without progress after which a run is stalled or has not started its work, which
 * says nothing about speed.
 */
const STALLED_AFTER_MS = 300

/**
 * Monitors the speeds of the workers.
 *
 * @internal
 */
export class SpeedMonitor {
	private readonly speeds = new WorkerSpeeds()
	/**
	 * Runs whose end is recorded. An end is listed repeatedly, each time later on the worker's clock,
	 * until it is committed.
	 */
	private readonly ended = new WeakSet<Run>()
	private nextUpdateAt = 0

	constructor(
		private readonly context: LeaderContext,
		private readonly workers: WorkerRegistry,
		private readonly usefulnessOrder: UsefulnessOrder
	) {}

	/** Records the run times of the tasks that a worker has listed. */
	onPoll(view: WorkerView, { running, ended, clock }: PollResult & { kind: 'done' }): void {
		if (this.isDisturbed(view)) return
		for (const { task, attempt } of running) {
			const run = view.runs.get(task)
			if (run?.attempt === attempt) this.record(view, run, run.progress.observedDuration)
		}
		for (const { task, attempt, how } of ended) {
			const run = view.runs.get(task)
			if (run?.attempt !== attempt || how !== RunEnd.Done || this.ended.has(run)) continue
			this.ended.add(run)
			this.record(view, run, run.progress.getObservedDurationAtEnd(clock))
		}
	}

	/** Drops what is known of a worker whose incarnation has ended. */
	onIncarnationEnd(worker: string): void {
		this.speeds.forget(worker)
	}

	/** Estimates the speeds again if that is due, and logs what has changed. */
	tick(now: number): void {
		if (now < this.nextUpdateAt) return
		this.nextUpdateAt = now + PERIOD_MS
		const { isSpreadWide, slow, recovered } = this.speeds.update(this.workers.size, now)
		for (const view of this.workers.all()) view.speed = this.speeds.speedOf(view.id)
		this.usefulnessOrder.hasDifferingSpeeds = this.speeds.spread.isWide
		if (isSpreadWide !== undefined) this.logSpread()
		for (const worker of slow) this.logWorker(LeaderEvent.WorkerSlow, worker, now)
		for (const worker of recovered) this.logWorker(LeaderEvent.WorkerNotSlow, worker, now)
	}

	/** Sets the gauges of the number of slow workers and of the spread of speeds. */
	updateMetrics(): void {
		const { meter } = this.context
		meter.gauge(Measure.SlowWorkers, this.speeds.slowCount)
		meter.gauge(Measure.SlowestShare, this.speeds.spread.share)
	}

	/**
	 * Whether a worker's runs don't reflect its speed: it is stalled, or more is reserved there than
	 * it offers.
	 */
	private isDisturbed({ id }: WorkerView): boolean {
		const { ledger, clock } = this.context
		return this.workers.stalls.isStalled(id, clock.now()) || ledger.find(id)?.isOverbooked === true
	}

	private record(view: WorkerView, run: Run, milliseconds: number | undefined): void {
		if (milliseconds === undefined || !isWorkerSpeedSample(run)) return
		if (run.progress.stalledForMs >= STALLED_AFTER_MS) return
		const { job, repeat, step } = run.name
		// Outside the rack of its data a task takes longer on any worker.
		const far = run.step.rack !== '' && run.step.rack !== view.worker.rack
		const group = `${stepName(job, repeat, step)}${far ? ' far' : ''}`
		this.speeds.record({ group, task: run.taskId }, view.id, milliseconds, this.context.clock.now())
	}

	private logSpread(): void {
		const { reason, share } = this.speeds.spread
		const workers = this.workers.size
		this.context.log.info(LeaderEvent.SpeedsHeeded, { reason, share: rounded(share), workers })
	}

	private logWorker(event: LeaderEvent, worker: string, now: number): void {
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
