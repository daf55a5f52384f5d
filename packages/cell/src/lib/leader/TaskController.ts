/**
 * Places tasks, starts them under leases, and restarts them elsewhere only after their lease has
 * certainly expired.
 */
import { IntentKind, type Configuration } from '@rillrudder/settings'
import {
	Ledger,
	Placement,
	PreemptionMethod,
	type Decision,
	type Estimator,
	type PreemptionDecision,
	type Resources,
	type WaitingReason,
} from '@rillrudder/scheduler'
import type { Random } from '@rillrudder/utils'
import type { CommandOf } from '../commands/DataCentreCommand'
import type { DataCentreState } from '../state/DataCentreState'
import { hasEnded, TaskPhase, type TaskRecord } from '../state/TaskTable'
import type { Effects, Moment } from './Effects'
import { earliestRestartOf } from './restartDelay'
import { WorkerLeases } from './WorkerLeases'
import type { ExchangeReply } from './workerProtocol'

const MAX_DECISIONS_PER_ROUND = 500

/**
 * The leader's controller for tasks.
 *
 * @internal
 */
export class TaskController {
	ledger: Ledger
	placement: Placement
	readonly leases: WorkerLeases
	/** Tasks with a proposed command that is not yet applied. */
	private readonly inFlight = new Set<string>()
	/** Tasks that are being preempted or stopped, with the reason. */
	private readonly departureReasons = new Map<string, string>()
	/** Restart time of tasks in backoff, in milliseconds since the epoch. */
	private readonly restartAt = new Map<string, number>()
	private needsDecision = true

	constructor(
		private readonly state: DataCentreState,
		private readonly effects: Effects,
		private readonly random: Random,
		private readonly configuration: () => Configuration
	) {
		this.ledger = new Ledger(random)
		this.placement = new Placement(this.ledger, random)
		this.leases = new WorkerLeases(state, effects)
	}

	/** Estimates of run times and resource usage. */
	get estimator(): Estimator {
		return this.placement.estimator
	}

	/** Handles the start of leadership: restores placed and waiting tasks from the replicated state. */
	takeOver(moment: Moment): void {
		this.clear()
		this.ledger = new Ledger(this.random)
		this.placement = new Placement(this.ledger, this.random)
		this.onConfigurationChanged()
		for (const worker of this.state.workers.all()) this.onWorkerChanged(worker.id)
		for (const record of this.state.tasks.all()) {
			if (record.phase === TaskPhase.Placed && record.reserved) {
				this.placement.restore(record.task, record.worker, record.reserved, record.placedAt)
				if (record.cancelled) this.stop(record, 'cancelled')
			}
		}
		const waiting = [...this.state.tasks.all()].filter((one) => one.phase === TaskPhase.Waiting)
		this.submitWhenDue(waiting, moment.at)
		this.leases.takeOver(moment.now)
	}

	/** Discards leader-only state. */
	clear(): void {
		this.inFlight.clear()
		this.departureReasons.clear()
		this.restartAt.clear()
		this.leases.clear()
	}

	/** Handles a change of the configuration. */
	onConfigurationChanged(): void {
		this.placement.setTeams(this.configuration().teams)
		this.needsDecision = true
	}

	/** Handles a worker that has joined, changed or left. */
	onWorkerChanged(id: string): void {
		const worker = this.state.workers.find(id)
		if (!worker) {
			this.ledger.leave(id)
			return
		}
		const { rack, capacity, slots } = worker
		this.ledger.join({ id, rack, capacity, slots })
		this.ledger.setOpen(id, worker.state === 'live')
		if (worker.state === 'leaving') this.drainWorker(id)
		this.needsDecision = true
	}

	/** Opens or closes a worker according to its health. */
	setHealthy(id: string, healthy: boolean): void {
		const live = this.state.workers.find(id)?.state === 'live'
		this.ledger.setOpen(id, live && healthy)
	}

	/** Handles the confirmation of a plan. */
	onConfirmed(records: readonly TaskRecord[]): void {
		this.submit(records)
		this.needsDecision = true
	}

	/** Handles the cancellation of an intent. */
	onCancelled(records: readonly TaskRecord[]): void {
		for (const record of records) {
			this.placement.cancel(record.task.id)
			if (record.phase === TaskPhase.Placed) this.stop(record, 'cancelled')
		}
	}

	/** Handles the commit of a placement; it has no effect if the worker lacked capacity. */
	onPlaced(command: CommandOf<'place'>, hasEffect: boolean): void {
		this.inFlight.delete(command.task)
		const record = this.state.tasks.find(command.task)
		if (!hasEffect || !record) {
			this.placement.onEnded(command.task)
			if (record && !hasEnded(record)) this.submit([record])
			return
		}
		this.leases.orderStart(record)
		if (record.cancelled) this.stop(record, 'cancelled')
	}

	/** Handles the commit of a task's removal from its worker. */
	onUnplaced(command: CommandOf<'unplace'>): void {
		this.inFlight.delete(command.task)
		this.departureReasons.delete(command.task)
		this.placement.onEnded(command.task)
		const record = this.state.tasks.find(command.task)
		if (record?.phase === TaskPhase.Waiting) this.submitWhenDue([record], command.at)
		this.needsDecision = true
	}

	/** Handles the commit of a throttle. */
	onThrottled(command: CommandOf<'throttle'>): void {
		this.inFlight.delete(command.task)
		this.departureReasons.delete(command.task)
		this.placement.onThrottled(command.task, command.cpu)
		this.needsDecision = true
	}

	/** Handles a worker's report on its tasks. */
	onExchangeReply(worker: string, reply: ExchangeReply, moment: Moment): void {
		this.leases.onReply(worker, reply, moment.now)
		for (const one of reply.refused)
			this.onTaskLeft(worker, one, false, `refused: ${one.reason}`, moment)
		for (const one of reply.ended) this.onTaskEnded(worker, one, moment)
		for (const one of reply.running) this.recordUsage(one)
		for (const record of this.leases.missing(worker, reply)) {
			this.unplaceLost(record, 'the worker no longer runs it', moment)
		}
	}

	/** Handles an exchange that a worker did not answer. */
	onExchangeFailed(worker: string): void {
		this.leases.onExchangeFailed(worker)
	}

	/** Places tasks, renews leases, and unplaces tasks whose leases have certainly expired. */
	tick(moment: Moment): void {
		for (const record of this.leases.expired(moment.now)) {
			this.unplaceLost(record, 'the worker is silent and its lease is over', moment)
		}
		this.submitDue(moment.at)
		if (this.needsDecision || this.placement.waitingCount > 0) this.decide(moment)
		this.leases.tick(moment)
	}

	/** @returns the reason why a task waits, if it does. */
	whyWaiting(task: string): WaitingReason | undefined {
		return this.placement.waitingReasonOf(task)
	}

	private decide(moment: Moment): void {
		this.needsDecision = false
		const decisions = this.placement.decide(moment.at, MAX_DECISIONS_PER_ROUND)
		if (decisions.length >= MAX_DECISIONS_PER_ROUND) this.needsDecision = true
		for (const decision of decisions) this.carryOut(decision, moment)
	}

	private carryOut(decision: Decision, moment: Moment): void {
		if (decision.kind === 'relieve') {
			this.preempt(decision)
			return
		}
		const { task, worker, reason } = decision
		const reserved = this.placement.runningTask(task.id)?.reserved as Resources
		this.inFlight.add(task.id)
		const at = moment.at
		this.effects.commands.push({ kind: 'place', task: task.id, worker, reserved, reason, at })
	}

	private preempt(decision: PreemptionDecision): void {
		const record = this.state.tasks.find(decision.task.id)
		if (!record) return
		this.departureReasons.set(decision.task.id, `made room for ${decision.for}`)
		switch (decision.how) {
			case PreemptionMethod.Throttle:
				return this.leases.orderThrottle(record, decision.task.throttleTo ?? 0)
			case PreemptionMethod.Checkpoint:
				return this.leases.orderCheckpoint(record)
			case PreemptionMethod.Stop:
				return this.leases.orderStop(record)
		}
	}

	private stop(record: TaskRecord, why: string): void {
		this.departureReasons.set(record.task.id, why)
		this.leases.orderStop(record)
	}

	/** Moves tasks off a worker that is leaving where possible; the others run to completion. */
	private drainWorker(worker: string): void {
		for (const record of this.leases.placedOn(worker)) {
			const { task } = record
			if (this.departureReasons.has(task.id)) continue
			if (this.leases.withdrawStart(record)) {
				this.departureReasons.set(task.id, 'its worker left before it started')
			} else if (task.checkpoints) {
				this.departureReasons.set(task.id, 'its worker is leaving')
				this.leases.orderCheckpoint(record)
			} else if (task.kind === IntentKind.Service) {
				this.stop(record, 'its worker is leaving')
			}
		}
	}

	private onTaskEnded(worker: string, one: ExchangeReply['ended'][number], moment: Moment): void {
		const record = this.state.tasks.find(one.task)
		if (!record) return
		const isDone = one.result === 'done' && record.task.kind !== IntentKind.Service
		if (isDone) this.estimator.recordRunTime(record.task, moment.at - record.placedAt)
		const reason = this.departureReasons.get(one.task) ?? one.result
		this.onTaskLeft(worker, one, isDone, reason, moment)
	}

	private onTaskLeft(
		worker: string,
		one: { task: string; fence: number },
		done: boolean,
		reason: string,
		moment: Moment
	): void {
		const record = this.state.tasks.find(one.task)
		if (record?.worker !== worker || record.fence !== one.fence) return
		this.unplace(record, done, reason, moment)
	}

	private recordUsage(one: ExchangeReply['running'][number]): void {
		const record = this.state.tasks.find(one.task)
		if (record?.fence !== one.fence) return
		this.estimator.recordUsage(record.task, one)
		const throttledCpu = this.leases.takeThrottle(record)
		if (throttledCpu === undefined || this.inFlight.has(one.task)) return
		this.inFlight.add(one.task)
		this.effects.commands.push({ kind: 'throttle', task: one.task, cpu: throttledCpu, at: 0 })
	}

	private unplaceLost(record: TaskRecord, reason: string, moment: Moment): void {
		this.unplace(record, false, reason, moment, true)
	}

	private unplace(
		record: TaskRecord,
		done: boolean,
		reason: string,
		{ at }: Moment,
		lost?: boolean
	): void {
		const { id } = record.task
		if (this.inFlight.has(id) || record.phase !== TaskPhase.Placed) return
		this.inFlight.add(id)
		const { worker } = record
		this.effects.commands.push({ kind: 'unplace', task: id, worker, done, lost, reason, at })
	}

	/** Submits waiting tasks, delaying those in restart backoff. */
	private submitWhenDue(records: readonly TaskRecord[], at: number): void {
		const due: TaskRecord[] = []
		for (const record of records) {
			const restart = earliestRestartOf(record)
			if (restart <= at) due.push(record)
			else this.restartAt.set(record.task.id, restart)
		}
		if (due.length > 0) this.submit(due)
	}

	private submitDue(at: number): void {
		for (const [task, restart] of this.restartAt) {
			if (restart > at) continue
			this.restartAt.delete(task)
			const record = this.state.tasks.find(task)
			if (record?.phase === TaskPhase.Waiting) this.submit([record])
		}
	}

	/** Submits tasks to the placement, those of a gang together. */
	private submit(records: readonly TaskRecord[]): void {
		const gangs = new Map<string, TaskRecord[]>()
		for (const record of records) {
			if (record.task.kind !== IntentKind.Gang) {
				this.placement.submit([record.task])
				continue
			}
			const gang = gangs.get(record.task.intent) ?? []
			gang.push(record)
			gangs.set(record.task.intent, gang)
		}
		for (const gang of gangs.values()) this.placement.submit(gang.map((record) => record.task))
	}
}
