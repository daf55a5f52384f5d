/** Orders to start and stop runs: whether they may go out, and what their answers mean. */
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

/** Why a run may not be ordered to start. @internal */
export const StartObstacle = {
	/** Its account has more running than its quota allows. */
	Quota: 'quota',
	/** Its worker has more on it than it offers. */
	Room: 'room',
	/** Its worker has not been heard for too long. */
	Unheard: 'unheard',
	/** Its worker can't be reached, or does not take new work. */
	Unreachable: 'unreachable',
} as const
/** One of the obstacles. @internal */
export type StartObstacle = (typeof StartObstacle)[keyof typeof StartObstacle]

/** Told what becomes of runs by their orders. @internal */
export interface OrderHost {
	/** @returns whether a run is the present one of its task. */
	isCurrent(run: Run): boolean
	/** A run is in another phase from now on. */
	enter(run: Run, phase: RunPhase): void
	beginStop(run: Run, reason: StopReason): void
	/** A run has ended without a word of its worker. */
	proposeEnd(run: Run, how: RunEnd): void
	/** A run's worker has confirmed it. */
	progressed(run: Run): void
	/** A member of a gang can't begin. */
	gangFailed(run: Run, failure: GangFailure, detail: string): void
	/** The ticket that a run was started with does not hold. */
	ticketRefused(run: Run): void
}

/**
 * The orders of runs.
 *
 * @internal
 */
export class RunOrders {
	/**
	 * @param context - what the parts of the leader share.
	 * @param workers - the workers as the leader sees them.
	 * @param accounts - what accounts may have.
	 * @param host - told what becomes of runs.
	 */
	constructor(
		private readonly context: LeaderContext,
		private readonly workers: WorkerRegistry,
		private readonly accounts: AccountUsage,
		private readonly host: OrderHost
	) {}

	/** Sends the order of the run's phase. */
	order(run: Run): void {
		const view = this.workers.find(run.worker)
		if (!view || view.unreachable || view.givenUp) return
		// Only a list tells what an earlier leader's orders came to.
		if (!view.listed) return
		if (run.phase === RunPhase.Starting) this.orderStart(run, view)
		else this.orderStop(run, view)
	}

	/** @returns why a run may not be ordered to start now, though its worker can be reached. */
	private startObstacle(run: Run, view: WorkerView): StartObstacle | undefined {
		const { clock, timing, ledger } = this.context
		if (!this.accounts.mayGoOn(run.account, run.step)) return StartObstacle.Quota
		// What was free when this was decided may be gone: a worker's room can shrink while its run is on its way.
		if (ledger.find(run.worker)?.isOvercommitted) return StartObstacle.Room
		// So may be that of a worker which an earlier leader chose and this one has not heard yet.
		return view.silence(clock.now()) >= timing.workerSilent ? StartObstacle.Unheard : undefined
	}

	/** @returns why a member of a gang may not be ordered to start now. */
	obstacleOf(run: Run): StartObstacle | undefined {
		const view = this.workers.find(run.worker)
		if (!view || view.givenUp || view.unreachable || !view.listed) return StartObstacle.Unreachable
		return this.startObstacle(run, view)
	}

	private orderStart(run: Run, view: WorkerView): void {
		const { orders, clock, state } = this.context
		const place = state.jobs.locate(run.text)
		const obstacle = this.startObstacle(run, view)
		if (obstacle === StartObstacle.Unheard) return this.awaitWord(run)
		if (obstacle) return this.withdraw(run, obstacle)
		const leaseUntil = view.lease.renew(clock.now())
		if (!place || leaseUntil === undefined) return
		run.busy = true
		const order = {
			task: run.text,
			attempt: run.attempt,
			spec: place.job.request.spec,
			leaseUntil,
			fence: view.fence,
			checkpoint: place.task.checkpoint,
			ticket: run.ticket,
		}
		const sentAt = clock.now()
		run.ordered = true
		orders.start(view.worker, order, (result) =>
			this.answered(run, RunPhase.Starting, result, sentAt)
		)
	}

	/** A run is not ordered before its worker is heard; it goes elsewhere if that takes longer than a heartbeat should. */
	private awaitWord(run: Run): void {
		const { clock, timing } = this.context
		if (clock.now() - run.since > timing.workerQuiet) this.withdraw(run, StartObstacle.Unheard)
		else run.retryAt = clock.now() + timing.retryPause
	}

	/** A run that its worker has not confirmed is not begun any more; what an order on its way may begin is stopped. */
	private withdraw(run: Run, reason: StartObstacle): void {
		const { text: task, attempt, worker, account } = run
		const { log } = this.context
		const name = account?.terms.name
		log.info(LeaderEvent.RunWithdrawn, { task, attempt, worker, reason, account: name })
		this.host.beginStop(run, StopReason.Withdrawn)
	}

	private orderStop(run: Run, view: WorkerView): void {
		const { orders, clock } = this.context
		run.busy = true
		const order = { task: run.text, attempt: run.attempt, fence: view.fence }
		const sentAt = clock.now()
		orders.stop(view.worker, order, (result) =>
			this.answered(run, RunPhase.Stopping, result, sentAt)
		)
	}

	private answered(run: Run, asked: RunPhase, result: OrderResult, sentAt: number): void {
		run.busy = false
		const { meter, clock } = this.context
		meter.count(Measure.Orders, { order: asked, result: result.kind })
		meter.observe(Measure.OrderTime, clock.now() - sentAt, { order: asked })
		const view = this.workers.find(run.worker)
		if (!view || !this.host.isCurrent(run)) return
		switch (result.kind) {
			case 'done':
				this.workers.answered(view, result.clock)
				return this.obeyed(run, asked, result.clock)
			case 'refused':
				this.workers.answered(view, result.clock)
				return this.refused(run, view, asked, result.reason)
			case 'other-incarnation':
				return this.workers.proposeGone(run.worker, WorkerEnd.OtherIncarnation)
			case 'not-carried':
				if (asked === RunPhase.Starting) run.isInDoubt = true
				return this.orderAgain(run)
			case 'unknown':
				if (asked === RunPhase.Starting) run.isInDoubt = true
				this.workers.unanswered(view, result.message, sentAt)
		}
	}

	/** Sends the order of the run's phase again at once, if it still waits for an answer. */
	private orderAgain(run: Run): void {
		if (run.phase === RunPhase.Starting || run.phase === RunPhase.Stopping) this.order(run)
	}

	private obeyed(run: Run, asked: RunPhase, clock: number | undefined): void {
		if (asked === RunPhase.Starting) {
			run.atWork.confirmed(clock)
			if (run.phase === RunPhase.Starting) this.host.enter(run, RunPhase.Running)
			else if (run.phase === RunPhase.Stopping) this.orderStopOfBegun(run)
			this.host.progressed(run)
			const view = this.workers.find(run.worker)
			if (view && !view.polling) view.pollDue = 0
		} else if (run.phase === RunPhase.Stopping) {
			this.host.enter(run, RunPhase.Stopped)
		}
	}

	/** A run has begun that is to stop already: if its worker crashes meanwhile, that counts as for any other run. */
	private orderStopOfBegun(run: Run): void {
		run.confirmedAt ??= this.context.clock.now()
		this.order(run)
	}

	private refused(run: Run, view: WorkerView, asked: RunPhase, reason: Refusal): void {
		const { log, health, clock, timing } = this.context
		const { text, attempt, worker } = run
		log.info(LeaderEvent.OrderRefused, { task: text, attempt, worker, reason, order: asked })
		if (reason === Refusal.Fence) {
			this.workers.fenced(view)
			return
		}
		run.retryAt = clock.now() + timing.retryPause
		if (asked === RunPhase.Stopping || run.phase === RunPhase.Stopping) {
			if (!run.busy && reason === Refusal.Old) this.host.enter(run, RunPhase.Stopped)
			else if (asked === RunPhase.Starting && !run.isInDoubt)
				this.host.proposeEnd(run, RunEnd.Refused)
			return
		}
		if (reason === Refusal.Late) return
		this.host.gangFailed(run, GangFailure.Refused, reason)
		if (reason === Refusal.Old) {
			// Its end is listed, or it was stopped by an order of an earlier leader.
			this.host.enter(run, RunPhase.Stopped)
			return
		}
		if (reason === Refusal.Ticket) this.host.ticketRefused(run)
		if (reason === Refusal.Unhealthy) health.onFailure(worker, run.name.job, clock.now())
		// An earlier copy of the order may still be on its way; a stop makes sure that it does nothing.
		if (run.isInDoubt) this.host.beginStop(run, StopReason.Withdrawn)
		else this.host.proposeEnd(run, RunEnd.Refused)
	}
}
