/** Places tasks, starts them under leases, and starts them elsewhere only when a lease is certainly over. */
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
import { mayRestartAt } from './restartDelay'
import { WorkerLeases } from './WorkerLeases'
import type { ExchangeReply } from './workerProtocol'

const DECISIONS_A_ROUND = 500

/**
 * The leader's controller for tasks.
 *
 * @internal
 */
export class TaskController {
	ledger: Ledger
	placement: Placement
	readonly leases: WorkerLeases
	/** Tasks for which a command is under way. */
	private readonly busy = new Set<string>()
	/** Tasks that are being moved out of the way, or stopped, and why. */
	private readonly leaving = new Map<string, string>()
	/** Tasks that wait before they begin again, and until when, milliseconds since the epoch. */
	private readonly delayed = new Map<string, number>()
	private again = true

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

	/** What has been learned of run times and sizes. */
	get estimator(): Estimator {
		return this.placement.estimator
	}

	/** Takes up what the log says runs and waits. */
	takeOver(moment: Moment): void {
		this.clear()
		this.ledger = new Ledger(this.random)
		this.placement = new Placement(this.ledger, this.random)
		this.configured()
		for (const worker of this.state.workers.all()) this.workerChanged(worker.id)
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

	/** Forgets what only a leader needs. */
	clear(): void {
		this.busy.clear()
		this.leaving.clear()
		this.delayed.clear()
		this.leases.clear()
	}

	/** The configuration has changed. */
	configured(): void {
		this.placement.setTeams(this.configuration().teams)
		this.again = true
	}

	/** A worker has joined, changed or left. */
	workerChanged(id: string): void {
		const worker = this.state.workers.find(id)
		if (!worker) {
			this.ledger.leave(id)
			return
		}
		const { rack, capacity, slots } = worker
		this.ledger.join({ id, rack, capacity, slots })
		this.ledger.setOpen(id, worker.state === 'live')
		if (worker.state === 'leaving') this.vacate(id)
		this.again = true
	}

	/** Opens or closes a worker for its health. */
	setHealthy(id: string, healthy: boolean): void {
		const live = this.state.workers.find(id)?.state === 'live'
		this.ledger.setOpen(id, live && healthy)
	}

	/** A plan was confirmed. */
	confirmed(records: readonly TaskRecord[]): void {
		this.submit(records)
		this.again = true
	}

	/** An intent was cancelled. */
	cancelled(records: readonly TaskRecord[]): void {
		for (const record of records) {
			this.placement.cancel(record.task.id)
			if (record.phase === TaskPhase.Placed) this.stop(record, 'cancelled')
		}
	}

	/** A placement was committed, or found that the worker had no room. */
	placed(command: CommandOf<'place'>, counted: boolean): void {
		this.busy.delete(command.task)
		const record = this.state.tasks.find(command.task)
		if (!counted || !record) {
			this.placement.onEnded(command.task)
			if (record && !hasEnded(record)) this.submit([record])
			return
		}
		this.leases.orderStart(record)
		if (record.cancelled) this.stop(record, 'cancelled')
	}

	/** A task has left its worker. */
	unplaced(command: CommandOf<'unplace'>): void {
		this.busy.delete(command.task)
		this.leaving.delete(command.task)
		this.placement.onEnded(command.task)
		const record = this.state.tasks.find(command.task)
		if (record?.phase === TaskPhase.Waiting) this.submitWhenDue([record], command.at)
		this.again = true
	}

	/** A task was throttled. */
	throttled(command: CommandOf<'throttle'>): void {
		this.busy.delete(command.task)
		this.leaving.delete(command.task)
		this.placement.onThrottled(command.task, command.cpu)
		this.again = true
	}

	/** Takes a worker's report. */
	reply(worker: string, reply: ExchangeReply, moment: Moment): void {
		this.leases.heard(worker, reply, moment.now)
		for (const one of reply.refused) this.left(worker, one, false, `refused: ${one.reason}`, moment)
		for (const one of reply.ended) this.endedThere(worker, one, moment)
		for (const one of reply.running) this.usage(one)
		for (const record of this.leases.missing(worker, reply)) {
			this.lost(record, 'the worker no longer runs it', moment)
		}
	}

	/** A worker did not answer. */
	silent(worker: string): void {
		this.leases.failed(worker)
	}

	/** Decides, renews leases, and gives up on workers whose leases are certainly over. */
	tick(moment: Moment): void {
		for (const record of this.leases.expired(moment.now)) {
			this.lost(record, 'the worker is silent and its lease is over', moment)
		}
		this.submitDue(moment.at)
		if (this.again || this.placement.waitingCount > 0) this.decide(moment)
		this.leases.tick(moment)
	}

	/** @returns why a task waits. */
	whyWaiting(task: string): WaitingReason | undefined {
		return this.placement.waitingReasonOf(task)
	}

	private decide(moment: Moment): void {
		this.again = false
		const decisions = this.placement.decide(moment.at, DECISIONS_A_ROUND)
		if (decisions.length >= DECISIONS_A_ROUND) this.again = true
		for (const decision of decisions) this.carryOut(decision, moment)
	}

	private carryOut(decision: Decision, moment: Moment): void {
		if (decision.kind === 'relieve') {
			this.relieve(decision)
			return
		}
		const { task, worker, reason } = decision
		const reserved = this.placement.runningTask(task.id)?.reserved as Resources
		this.busy.add(task.id)
		const at = moment.at
		this.effects.commands.push({ kind: 'place', task: task.id, worker, reserved, reason, at })
	}

	private relieve(decision: PreemptionDecision): void {
		const record = this.state.tasks.find(decision.task.id)
		if (!record) return
		this.leaving.set(decision.task.id, `made room for ${decision.for}`)
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
		this.leaving.set(record.task.id, why)
		this.leases.orderStop(record)
	}

	/** Moves what can move off a worker that is leaving; the rest runs to its end. */
	private vacate(worker: string): void {
		for (const record of this.leases.placedOn(worker)) {
			const { task } = record
			if (this.leaving.has(task.id)) continue
			if (this.leases.withdrawStart(record)) {
				this.leaving.set(task.id, 'its worker left before it started')
			} else if (task.checkpoints) {
				this.leaving.set(task.id, 'its worker is leaving')
				this.leases.orderCheckpoint(record)
			} else if (task.kind === IntentKind.Service) {
				this.stop(record, 'its worker is leaving')
			}
		}
	}

	private endedThere(worker: string, one: ExchangeReply['ended'][number], moment: Moment): void {
		const record = this.state.tasks.find(one.task)
		if (!record) return
		const over = one.result === 'done' && record.task.kind !== IntentKind.Service
		if (over) this.estimator.recordRunTime(record.task, moment.at - record.placedAt)
		const reason = this.leaving.get(one.task) ?? one.result
		this.left(worker, one, over, reason, moment)
	}

	private left(
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

	private usage(one: ExchangeReply['running'][number]): void {
		const record = this.state.tasks.find(one.task)
		if (record?.fence !== one.fence) return
		this.estimator.recordUsage(record.task, one)
		const slowed = this.leases.throttledTo(record)
		if (slowed === undefined || this.busy.has(one.task)) return
		this.busy.add(one.task)
		this.effects.commands.push({ kind: 'throttle', task: one.task, cpu: slowed, at: 0 })
	}

	private lost(record: TaskRecord, reason: string, moment: Moment): void {
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
		if (this.busy.has(id) || record.phase !== TaskPhase.Placed) return
		this.busy.add(id)
		const { worker } = record
		this.effects.commands.push({ kind: 'unplace', task: id, worker, done, lost, reason, at })
	}

	/** Those whose workers were lost again and again come later. */
	private submitWhenDue(records: readonly TaskRecord[], at: number): void {
		const due: TaskRecord[] = []
		for (const record of records) {
			const restart = mayRestartAt(record)
			if (restart <= at) due.push(record)
			else this.delayed.set(record.task.id, restart)
		}
		if (due.length > 0) this.submit(due)
	}

	private submitDue(at: number): void {
		for (const [task, restart] of this.delayed) {
			if (restart > at) continue
			this.delayed.delete(task)
			const record = this.state.tasks.find(task)
			if (record?.phase === TaskPhase.Waiting) this.submit([record])
		}
	}

	/** Tasks of a gang go to the placement together. */
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
