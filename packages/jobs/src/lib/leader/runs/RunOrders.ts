/**
 * Sends orders to start and stop runs, checks whether they may be sent, and handles their answers.
 */
import { Measure } from '@rillrudder/telemetry'
import { GangFailure } from '../../gangs/GangAttempt'
import type { AccountUsage } from '../../accounts/AccountUsage'
import { RunEnd } from '../../records/Job'
import type { LeaderContext } from '../LeaderContext'
import { LeaderEvent } from '../LeaderEvent'
import { Refusal, type OrderResult } from '../ports'
import { WorkerEnd } from '../workers/WorkerEnd'
import type { WorkerRegistry } from '../workers/WorkerRegistry'
import type { WorkerView } from '../workers/WorkerView'
import { RunPhase, type Run } from './Run'
import { StopReason } from './WastedWork'

/** Why a run can't be ordered to start now. Values appear in logs. @internal */
export const StartObstacle = {
	/** Its account exceeds its quota. */
	Quota: 'quota',
	/** Its worker is overcommitted. */
	Capacity: 'room',
	/** Its worker has been without heartbeat for too long. */
	NoHeartbeat: 'unheard',
	/** Its worker is draining. */
	Draining: 'draining',
	/** Its worker is unreachable, or does not accept new work. */
	Unreachable: 'unreachable',
} as const
/** One of the start obstacles. @internal */
export type StartObstacle = (typeof StartObstacle)[keyof typeof StartObstacle]

/** Callbacks for the effects that orders have on runs. @internal */
export interface OrderHost {
	/** @returns whether a run is the current one of its task. */
	isCurrent(run: Run): boolean
	/** Moves a run to another phase. */
	enterPhase(run: Run, phase: RunPhase): void
	/** Stops a run. */
	requestStop(run: Run, reason: StopReason): void
	/** Proposes the end of a run that its worker has not reported. */
	proposeEnd(run: Run, how: RunEnd): void
	/** A worker has confirmed the start of a run, which may have been abandoned since. */
	onStartConfirmed(run: Run): void
	/** A worker has confirmed a run. */
	onProgress(run: Run): void
	/** A member of a gang can't start. */
	onGangMemberFailed(run: Run, failure: GangFailure, detail: string): void
	/** A worker has refused the ticket of a start order. */
	onTicketRefused(run: Run): void
	/** A worker has refused a start for a reason of its own. */
	onStartRefused(run: Run, reason: Refusal): void
}

/**
 * Sends the orders of runs.
 *
 * @internal
 */
export class RunOrders {
	/**
	 * @param context - the context shared by the leader's components.
	 * @param workers - the leader's view of the workers.
	 * @param accounts - the usage and quotas of accounts.
	 * @param host - receives the effects of orders on runs.
	 */
	constructor(
		private readonly context: LeaderContext,
		private readonly workers: WorkerRegistry,
		private readonly accounts: AccountUsage,
		private readonly host: OrderHost
	) {}

	/** Sends the order that the phase of a run calls for, if its worker can be reached. */
	sendOrder(run: Run): void {
		const view = this.workers.find(run.worker)
		if (!view || view.isUnreachable || view.isEnding) return
		// Only a poll shows which orders of an earlier leader were carried out.
		if (!view.isListed) return
		if (run.phase === RunPhase.Starting) this.orderStart(run, view)
		else this.orderStop(run, view)
	}

	/**
	 * @returns why a run on a reachable worker can't be ordered to start now; undefined if it can.
	 */
	private findStartObstacle(run: Run, view: WorkerView): StartObstacle | undefined {
		const { clock, timing, ledger } = this.context
		// The worker may have started to drain since the decision, or since an order without an answer.
		if (view.isDraining) return StartObstacle.Draining
		if (!this.accounts.canContinue(run.account, run.step)) return StartObstacle.Quota
		// The capacity of a worker may have shrunk since the decision.
		if (ledger.find(run.worker)?.isOverbooked) return StartObstacle.Capacity
		// A worker that an earlier leader chose may have less capacity too, until its first
		// heartbeat.
		return view.heartbeatAge(clock.now()) >= timing.heartbeatTimeout
			? StartObstacle.NoHeartbeat
			: undefined
	}

	/** @returns why a member of a gang can't be ordered to start now; undefined if it can. */
	startObstacleOf(run: Run): StartObstacle | undefined {
		const view = this.workers.find(run.worker)
		if (!view || view.isEnding || view.isUnreachable || !view.isListed)
			return StartObstacle.Unreachable
		return this.findStartObstacle(run, view)
	}

	private orderStart(run: Run, view: WorkerView): void {
		const { orders, clock, state } = this.context
		const place = state.jobs.locate(run.taskId)
		const obstacle = this.findStartObstacle(run, view)
		if (obstacle === StartObstacle.NoHeartbeat) return this.awaitHeartbeat(run)
		if (obstacle) return this.withdraw(run, obstacle)
		const leaseUntil = view.lease.renew(clock.now())
		if (!place || leaseUntil === undefined) return
		run.isOrderPending = true
		const order = {
			task: run.taskId,
			attempt: run.attempt,
			spec: place.job.request.spec,
			leaseUntil,
			fence: view.fence,
			checkpoint: place.task.checkpoint,
			ticket: run.ticket,
		}
		const sentAt = clock.now()
		run.isOrdered = true
		orders.start(view.worker, order, (result) =>
			this.onAnswer(run, RunPhase.Starting, result, sentAt)
		)
	}

	/**
	 * Postpones a start until a heartbeat of its worker arrives, and withdraws it if that takes
	 * longer than a heartbeat should.
	 */
	private awaitHeartbeat(run: Run): void {
		const { clock, timing } = this.context
		if (clock.now() - run.phaseSince > timing.heartbeatOverdue)
			this.withdraw(run, StartObstacle.NoHeartbeat)
		else run.retryAt = clock.now() + timing.retryPause
	}

	/** Withdraws an unconfirmed start. A stop order covers a start order that may still arrive. */
	private withdraw(run: Run, reason: StartObstacle): void {
		const { taskId: task, attempt, worker, account } = run
		const { log } = this.context
		const name = account?.terms.name
		log.info(LeaderEvent.RunWithdrawn, { task, attempt, worker, reason, account: name })
		this.host.requestStop(run, StopReason.Withdrawn)
	}

	private orderStop(run: Run, view: WorkerView): void {
		const { orders, clock } = this.context
		run.isOrderPending = true
		const order = { task: run.taskId, attempt: run.attempt, fence: view.fence }
		const sentAt = clock.now()
		orders.stop(view.worker, order, (result) =>
			this.onAnswer(run, RunPhase.Stopping, result, sentAt)
		)
	}

	private onAnswer(run: Run, asked: RunPhase, result: OrderResult, sentAt: number): void {
		run.isOrderPending = false
		const { meter, clock } = this.context
		meter.count(Measure.Orders, { order: asked, result: result.kind })
		meter.observe(Measure.OrderTime, clock.now() - sentAt, { order: asked })
		if (asked === RunPhase.Starting && result.kind === 'done') this.host.onStartConfirmed(run)
		const view = this.workers.find(run.worker)
		if (!view || !this.host.isCurrent(run)) return
		switch (result.kind) {
			case 'done':
				this.workers.onAnswered(view, result.clock)
				return this.onDone(run, asked, result.clock)
			case 'refused':
				this.workers.onAnswered(view, result.clock)
				return this.onRefused(run, view, asked, result.reason)
			case 'other-incarnation':
				return this.workers.proposeGone(run.worker, WorkerEnd.OtherIncarnation)
			case 'not-carried':
				if (asked === RunPhase.Starting) run.isInDoubt = true
				return this.resendOrder(run)
			case 'unknown':
				if (asked === RunPhase.Starting) run.isInDoubt = true
				this.workers.onUnanswered(view, result.message, sentAt)
		}
	}

	/** Sends the order of a run again at once, if the run still waits for an answer. */
	private resendOrder(run: Run): void {
		if (run.phase === RunPhase.Starting || run.phase === RunPhase.Stopping) this.sendOrder(run)
	}

	private onDone(run: Run, asked: RunPhase, clock: number | undefined): void {
		if (asked === RunPhase.Starting) {
			run.observedTime.onConfirmed(clock)
			if (run.phase === RunPhase.Starting) this.host.enterPhase(run, RunPhase.Running)
			else if (run.phase === RunPhase.Stopping) this.stopStartedRun(run)
			this.host.onProgress(run)
			const view = this.workers.find(run.worker)
			if (view && !view.isPolling) view.pollDueAt = 0
		} else if (run.phase === RunPhase.Stopping) {
			this.host.enterPhase(run, RunPhase.Stopped)
		}
	}

	/**
	 * Stops a run that started after its stop was requested. If its worker crashes meanwhile, the
	 * crash counts as for any other run.
	 */
	private stopStartedRun(run: Run): void {
		run.confirmedAt ??= this.context.clock.now()
		this.sendOrder(run)
	}

	private onRefused(run: Run, view: WorkerView, asked: RunPhase, reason: Refusal): void {
		const { log, clock, timing } = this.context
		const { taskId, attempt, worker } = run
		log.info(LeaderEvent.OrderRefused, { task: taskId, attempt, worker, reason, order: asked })
		if (reason === Refusal.Fence) {
			this.workers.onFenced(view)
			return
		}
		run.retryAt = clock.now() + timing.retryPause
		if (asked === RunPhase.Stopping || run.phase === RunPhase.Stopping) {
			if (!run.isOrderPending && reason === Refusal.Superseded)
				this.host.enterPhase(run, RunPhase.Stopped)
			else if (asked === RunPhase.Starting && !run.isInDoubt)
				this.host.proposeEnd(run, RunEnd.Refused)
			return
		}
		if (reason === Refusal.LeaseExpired) return
		this.host.onGangMemberFailed(run, GangFailure.Refused, reason)
		if (reason === Refusal.Superseded) {
			// The worker lists its end, or an order of an earlier leader stopped it.
			this.host.enterPhase(run, RunPhase.Stopped)
			return
		}
		if (reason === Refusal.Ticket) this.host.onTicketRefused(run)
		else this.host.onStartRefused(run, reason)
		// An earlier copy of the order may still arrive; a stop order makes it ineffective.
		if (run.isInDoubt) this.host.requestStop(run, StopReason.Withdrawn)
		else this.host.proposeEnd(run, RunEnd.Refused)
	}
}
