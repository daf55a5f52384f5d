/**
 * Decides which waiting task starts where, and what is preempted for urgent work.
 *
 * Urgent work goes first, then the gang that holds released capacity until it is complete, then the
 * team with the lowest weighted share, and within it the task with the earliest latest start. Tasks
 * that don't fit are skipped in favour of tasks that do.
 */
import { invariant, type Random } from '@rillrudder/utils'
import { IntentKind } from '@rillrudder/settings'
import type { Ledger } from '../capacity/Ledger'
import { times, type Resources } from '../capacity/Resources'
import { chooseWorker } from './chooseWorker'
import { Estimator } from './Estimator'
import { GangHold } from './GangHold'
import { Preemption } from './Preemption'
import { SiblingCounts } from './SiblingCounts'
import {
	WaitingReason,
	type Decision,
	type RunningTask,
	type StartDecision,
	type Task,
} from './Task'
import type { QuotaTerms } from './QuotaAccount'
import { demoteIfLate, latestStartOf, TeamAccount, type PendingItem } from './TeamAccount'

/** Maximum number of tasks of one team that are skipped in one round because they don't fit. */
const MAX_SKIPPED = 8
const NO_RELEASE = -1

/**
 * The placement of one data centre.
 *
 * @example
 * ```ts
 * placement.submit([task], now)
 * for (const decision of placement.decide(now, 100)) carryOut(decision)
 * ```
 * @public
 */
export class Placement {
	readonly estimator = new Estimator()
	private readonly teams = new Map<string, TeamAccount>()
	private readonly pending = new Map<string, PendingItem>()
	private readonly running = new Map<string, RunningTask>()
	private readonly siblings = new SiblingCounts()
	private readonly shapes = new Map<string, number>()
	/** The ledger's release count at the last failed search, by shape. */
	private readonly failedAtRelease: number[] = []
	private readonly gangHold: GangHold
	private readonly preemption: Preemption

	/**
	 * @param ledger - the reserved and free capacity.
	 * @param random - draws samples of workers.
	 */
	constructor(
		private readonly ledger: Ledger,
		random: Random
	) {
		this.gangHold = new GangHold(ledger)
		this.preemption = new Preemption(ledger, random)
	}

	/** The number of waiting tasks. */
	get waitingCount(): number {
		return this.pending.size
	}

	/** The number of running tasks. */
	get runningCount(): number {
		return this.running.size
	}

	/** @param teams - the teams of the configuration in force. */
	setTeams(teams: readonly QuotaTerms[]): void {
		for (const team of teams) this.accountOf(team.name).terms = team
	}

	/**
	 * Adds waiting tasks. The tasks of a gang are submitted together and start together.
	 *
	 * @param tasks - one task, or all tasks of a gang.
	 */
	submit(tasks: readonly Task[]): void {
		const first = tasks[0]
		const item: PendingItem = {
			tasks,
			latestStart: latestStartOf(first, this.estimator.expectedRunTime(first) || undefined),
			shape: this.shapeOf(first),
			isLate: false,
			waitingReason: WaitingReason.New,
			cancelledCount: 0,
		}
		for (const task of tasks) this.pending.set(task.id, item)
		this.accountOf(first.team).waiting.push(item)
	}

	/**
	 * Cancels a waiting task in constant time, whatever the number of waiting tasks.
	 *
	 * @param id - a task.
	 * @returns whether it was waiting.
	 */
	cancel(id: string): boolean {
		const item = this.pending.get(id)
		if (!item) return false
		this.pending.delete(id)
		item.cancelledCount += 1
		return true
	}

	/** Restores a task that an earlier leader has started. */
	restore(task: Task, worker: string, reserved: Resources, since: number): void {
		this.ledger.restore(worker, reserved)
		this.addRunning({ task, worker, reserved, since, isBeingPreempted: false })
	}

	/**
	 * Handles the end of a task whose lease is over.
	 *
	 * @param id - the task.
	 */
	onEnded(id: string): void {
		const ended = this.running.get(id)
		if (!ended) return
		this.running.delete(id)
		this.ledger.release(ended.worker, ended.reserved)
		this.accountOf(ended.task.team).subtractUsage(ended.reserved)
		this.preemption.onEnded(ended)
		const rack = this.ledger.find(ended.worker)?.rack ?? ''
		this.siblings.adjust(ended.task.intent, ended.worker, rack, -1)
	}

	/**
	 * Handles the throttling of a task.
	 *
	 * @param id - the task.
	 * @param cpu - thousandths of a processor that it keeps.
	 */
	onThrottled(id: string, cpu: number): void {
		const throttled = this.running.get(id)
		if (!throttled || cpu >= throttled.reserved.cpu) return
		const freed = { cpu: throttled.reserved.cpu - cpu, memory: 0, accelerators: 0 }
		throttled.reserved = { ...throttled.reserved, cpu }
		throttled.isBeingPreempted = false
		this.ledger.release(throttled.worker, freed)
		this.accountOf(throttled.task.team).subtractUsage(freed)
		this.preemption.onThrottled(throttled)
	}

	/**
	 * Decides what can start now.
	 *
	 * @param now - milliseconds since the epoch.
	 * @param limit - maximum number of decisions.
	 * @returns the decisions to carry out; starts are already reserved in the ledger.
	 */
	decide(now: number, limit: number): Decision[] {
		const decisions: Decision[] = []
		const blocked = new Set<TeamAccount>()
		this.startByTeam(true, blocked, now, limit, decisions)
		this.continueGang(now, decisions)
		this.startByTeam(false, blocked, now, limit, decisions)
		return decisions
	}

	/**
	 * @param id - a task.
	 * @returns why it waits; undefined if it doesn't.
	 */
	waitingReasonOf(id: string): WaitingReason | undefined {
		return this.pending.get(id)?.waitingReason
	}

	/** @returns the running task, if it runs. */
	runningTask(id: string): RunningTask | undefined {
		return this.running.get(id)
	}

	/** @returns the resources that a team uses. */
	usageOf(team: string): Resources {
		return this.accountOf(team).used
	}

	private startByTeam(
		urgent: boolean,
		blocked: Set<TeamAccount>,
		now: number,
		limit: number,
		decisions: Decision[]
	): void {
		while (decisions.length < limit) {
			const account = this.nextTeam(urgent, blocked)
			if (!account) return
			if (!this.startNextOf(account, now, decisions)) blocked.add(account)
		}
	}

	/**
	 * Returns the team with the lowest weighted share among those with waiting tasks.
	 *
	 * @param urgent - whether to consider only teams with urgent work.
	 * @param blocked - teams to leave out, none of whose tasks can start.
	 */
	private nextTeam(urgent: boolean, blocked: Set<TeamAccount>): TeamAccount | undefined {
		let best: TeamAccount | undefined
		let bestShare = Number.POSITIVE_INFINITY
		for (const account of this.teams.values()) {
			const head = account.waiting.peek()
			if (!head || blocked.has(account) || (urgent && !head.tasks[0].urgent)) continue
			const share = account.weightedShareOf(this.ledger.total)
			if (share >= bestShare) continue
			best = account
			bestShare = share
		}
		return best
	}

	/** Starts the first of a team's tasks that can start. @returns whether any was started. */
	private startNextOf(account: TeamAccount, now: number, decisions: Decision[]): boolean {
		const skipped: PendingItem[] = []
		let started = false
		while (!started && skipped.length < MAX_SKIPPED) {
			const item = account.waiting.pop()
			if (!item) break
			if (item.cancelledCount === item.tasks.length) continue
			if (demoteIfLate(item, now)) {
				account.waiting.push(item)
				continue
			}
			started = this.tryStart(item, account, now, decisions)
			if (!started) skipped.push(item)
		}
		for (const item of skipped) account.waiting.push(item)
		return started
	}

	private tryStart(
		item: PendingItem,
		account: TeamAccount,
		now: number,
		decisions: Decision[]
	): boolean {
		const tasks = this.uncancelledTasks(item)
		const need = this.estimator.reservationFor(tasks[0])
		if (!account.allows(times(need, tasks.length))) {
			item.waitingReason = WaitingReason.Quota
			return false
		}
		if (tasks[0].kind === IntentKind.Gang) return this.tryStartGang(item, tasks, now, decisions)
		const worker = this.findWorker(tasks[0], need, item.shape)
		if (!worker) {
			this.preemptFor(item, tasks[0], need, decisions)
			return false
		}
		this.ledger.reserve(worker.id, need)
		decisions.push(this.start(tasks[0], worker.id, need, now))
		return true
	}

	private findWorker(task: Task, need: Resources, shape: number) {
		if (this.failedAtRelease[shape] === this.ledger.releases) return undefined
		const worker = chooseWorker(this.ledger, need, task.kind, this.siblings.countsOf(task.intent))
		if (!worker) this.failedAtRelease[shape] = this.ledger.releases
		return worker
	}

	private preemptFor(item: PendingItem, task: Task, need: Resources, decisions: Decision[]): void {
		item.waitingReason = WaitingReason.Capacity
		if (!task.urgent) return
		if (this.preemption.isPreemptingFor(task.id)) {
			item.waitingReason = WaitingReason.Preempting
			return
		}
		const preemptions = this.preemption.plan(task, need, this.running)
		if (preemptions.length === 0) return
		item.waitingReason = WaitingReason.Preempting
		decisions.push(...preemptions)
	}

	private tryStartGang(
		item: PendingItem,
		tasks: Task[],
		now: number,
		decisions: Decision[]
	): boolean {
		item.waitingReason = WaitingReason.Gang
		if (this.gangHold.isHeldBy(item)) return false
		const need = this.estimator.reservationFor(tasks[0])
		if (this.failedAtRelease[item.shape] === this.ledger.releases && !this.gangHold.isFree)
			return false
		const workers = this.gangHold.reserveAll(need, tasks.length)
		if (workers) {
			this.startGang(tasks, workers, need, now, decisions)
			return true
		}
		this.failedAtRelease[item.shape] = this.ledger.releases
		this.gangHold.tryHold(item, need, now)
		return false
	}

	private continueGang(now: number, decisions: Decision[]): void {
		const holder = this.gangHold.holder
		if (!holder) return
		const tasks = this.uncancelledTasks(holder)
		const complete = this.gangHold.extend(tasks.length, now)
		if (!complete) return
		this.accountOf(tasks[0].team).waiting.remove(holder, (left, right) => left === right)
		this.startGang(tasks, complete.workers, complete.need, now, decisions)
	}

	private startGang(
		tasks: Task[],
		workers: string[],
		need: Resources,
		now: number,
		decisions: Decision[]
	): void {
		invariant(workers.length === tasks.length, 'a gang starts whole', { intent: tasks[0].intent })
		tasks.forEach((task, position) => {
			decisions.push(this.start(task, workers[position], need, now))
		})
	}

	private start(task: Task, worker: string, reserved: Resources, now: number): StartDecision {
		this.pending.delete(task.id)
		this.preemption.onPlaced(task.id)
		this.addRunning({ task, worker, reserved, since: now, isBeingPreempted: false })
		const count = this.siblings
			.countsOf(task.intent)
			.countInRack(this.ledger.find(worker)?.rack ?? '')
		return { kind: 'start', task, worker, reason: reasonOf(task, count) }
	}

	private addRunning(running: RunningTask): void {
		const { task, worker, reserved } = running
		this.running.set(task.id, running)
		this.accountOf(task.team).addUsage(reserved)
		this.siblings.adjust(task.intent, worker, this.ledger.find(worker)?.rack ?? '', 1)
	}

	private uncancelledTasks(item: PendingItem): Task[] {
		if (item.cancelledCount === 0) return item.tasks as Task[]
		return item.tasks.filter((task) => this.pending.get(task.id) === item)
	}

	private accountOf(name: string): TeamAccount {
		let account = this.teams.get(name)
		if (!account) {
			account = new TeamAccount({ name, weight: 1 })
			this.teams.set(name, account)
		}
		return account
	}

	private shapeOf(task: Task): number {
		const { cpu, memory, accelerators } = task.need
		const key = `${cpu}/${memory}/${accelerators}/${task.gangSize}`
		let shape = this.shapes.get(key)
		if (shape === undefined) {
			shape = this.shapes.size
			this.shapes.set(key, shape)
			this.failedAtRelease[shape] = NO_RELEASE
		}
		return shape
	}
}

function reasonOf(task: Task, inRack: number): string {
	switch (task.kind) {
		case IntentKind.Service:
			return `fits, with ${inRack - 1} of the same service in its rack`
		case IntentKind.Batch:
			return 'fits with the least left over'
		case IntentKind.Gang:
			return `all ${task.gangSize} tasks of the gang fit at once`
	}
}
