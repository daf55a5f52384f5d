/**
 * Decides which waiting task starts where, and what makes room for urgent work.
 *
 * Urgent work goes first; then gangs, one of which at a time may hold what comes free until it is
 * whole; then the team that uses the least of its share, and in it the task with the least time left.
 * What does not fit is passed over for what does.
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
import { giveWay, latestStart, TeamAccount, type Pending } from './TeamAccount'

/** Tasks of one team that are passed over in one round when they do not fit. */
const PASSED_OVER = 8
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
	private readonly pending = new Map<string, Pending>()
	private readonly running = new Map<string, RunningTask>()
	private readonly siblings = new SiblingCounts()
	private readonly shapes = new Map<string, number>()
	/** For each shape the release count at which it last did not fit. */
	private readonly failedAt: number[] = []
	private readonly gang: GangHold
	private readonly preemption: Preemption

	/**
	 * @param ledger - what is free.
	 * @param random - chooses samples.
	 */
	constructor(
		private readonly ledger: Ledger,
		random: Random
	) {
		this.gang = new GangHold(ledger)
		this.preemption = new Preemption(ledger, random)
	}

	/** How many tasks wait. */
	get waitingCount(): number {
		return this.pending.size
	}

	/** How many tasks run. */
	get tasksRunning(): number {
		return this.running.size
	}

	/** @param teams - the teams of the configuration in force. */
	setTeams(teams: readonly QuotaTerms[]): void {
		for (const team of teams) this.account(team.name).terms = team
	}

	/**
	 * Takes tasks in; those of a gang come together and start together.
	 *
	 * @param tasks - one task, or all tasks of a gang.
	 */
	submit(tasks: readonly Task[]): void {
		const first = tasks[0]
		const item: Pending = {
			tasks,
			latestStart: latestStart(first, this.estimator.runTime(first) || undefined),
			shape: this.shapeOf(first),
			late: false,
			waiting: WaitingReason.New,
			cancelled: 0,
		}
		for (const task of tasks) this.pending.set(task.id, item)
		this.account(first.team).waiting.push(item)
	}

	/**
	 * Withdraws a task that waits. It costs the same however many wait.
	 *
	 * @param id - a task.
	 * @returns whether it was waiting.
	 */
	cancel(id: string): boolean {
		const item = this.pending.get(id)
		if (!item) return false
		this.pending.delete(id)
		item.cancelled += 1
		return true
	}

	/** Takes up a task that a leader before this one has started. */
	restore(task: Task, worker: string, reserved: Resources, since: number): void {
		this.ledger.restore(worker, reserved)
		this.enter({ task, worker, reserved, since, isBeingPreempted: false })
	}

	/**
	 * A task no longer runs and its lease is over.
	 *
	 * @param id - the task.
	 */
	ended(id: string): void {
		const gone = this.running.get(id)
		if (!gone) return
		this.running.delete(id)
		this.ledger.release(gone.worker, gone.reserved)
		this.account(gone.task.team).subtractUsage(gone.reserved)
		this.preemption.left(gone)
		const rack = this.ledger.find(gone.worker)?.rack ?? ''
		this.siblings.adjust(gone.task.intent, gone.worker, rack, -1)
	}

	/**
	 * A task goes on with fewer processors.
	 *
	 * @param id - the task.
	 * @param cpu - thousandths of a processor that it keeps.
	 */
	throttled(id: string, cpu: number): void {
		const slowed = this.running.get(id)
		if (!slowed || cpu >= slowed.reserved.cpu) return
		const freed = { cpu: slowed.reserved.cpu - cpu, memory: 0, accelerators: 0 }
		slowed.reserved = { ...slowed.reserved, cpu }
		slowed.isBeingPreempted = false
		this.ledger.release(slowed.worker, freed)
		this.account(slowed.task.team).subtractUsage(freed)
		this.preemption.slowed(slowed)
	}

	/**
	 * Decides as much as can start now.
	 *
	 * @param now - milliseconds since the epoch.
	 * @param most - how many decisions at most.
	 * @returns what to carry out; starts are already reserved in the ledger.
	 */
	decide(now: number, most: number): Decision[] {
		const decisions: Decision[] = []
		const blocked = new Set<TeamAccount>()
		this.serveTeams(true, blocked, now, most, decisions)
		this.continueGang(now, decisions)
		this.serveTeams(false, blocked, now, most, decisions)
		return decisions
	}

	/**
	 * @param id - a task.
	 * @returns why it waits, or undefined when it does not.
	 */
	whyWaiting(id: string): WaitingReason | undefined {
		return this.pending.get(id)?.waiting
	}

	/** @returns the running task, if it runs. */
	runningTask(id: string): RunningTask | undefined {
		return this.running.get(id)
	}

	/** @returns what a team uses, and where it stands against its weight. */
	usage(team: string): Resources {
		return this.account(team).used
	}

	private serveTeams(
		urgent: boolean,
		blocked: Set<TeamAccount>,
		now: number,
		most: number,
		decisions: Decision[]
	): void {
		while (decisions.length < most) {
			const account = this.nextTeam(urgent, blocked)
			if (!account) return
			if (!this.serve(account, now, decisions)) blocked.add(account)
		}
	}

	/** The team that uses the least of its share, among those with urgent work where that is asked. */
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

	/** Starts the first of a team's tasks that can start. @returns whether one did. */
	private serve(account: TeamAccount, now: number, decisions: Decision[]): boolean {
		const passed: Pending[] = []
		let started = false
		while (!started && passed.length < PASSED_OVER) {
			const item = account.waiting.pop()
			if (!item) break
			if (item.cancelled === item.tasks.length) continue
			if (giveWay(item, now)) {
				account.waiting.push(item)
				continue
			}
			started = this.attempt(item, account, now, decisions)
			if (!started) passed.push(item)
		}
		for (const item of passed) account.waiting.push(item)
		return started
	}

	private attempt(
		item: Pending,
		account: TeamAccount,
		now: number,
		decisions: Decision[]
	): boolean {
		const tasks = this.live(item)
		const need = this.estimator.need(tasks[0])
		if (!account.allows(times(need, tasks.length))) {
			item.waiting = WaitingReason.Quota
			return false
		}
		if (tasks[0].kind === IntentKind.Gang) return this.attemptGang(item, tasks, now, decisions)
		const worker = this.find(tasks[0], need, item.shape)
		if (!worker) {
			this.makeRoom(item, tasks[0], need, decisions)
			return false
		}
		this.ledger.reserve(worker.id, need)
		decisions.push(this.start(tasks[0], worker.id, need, now))
		return true
	}

	private find(task: Task, need: Resources, shape: number) {
		if (this.failedAt[shape] === this.ledger.releases) return undefined
		const worker = chooseWorker(this.ledger, need, task.kind, this.siblings.countsOf(task.intent))
		if (!worker) this.failedAt[shape] = this.ledger.releases
		return worker
	}

	private makeRoom(item: Pending, task: Task, need: Resources, decisions: Decision[]): void {
		item.waiting = WaitingReason.Capacity
		if (!task.urgent) return
		if (this.preemption.awaits(task.id)) {
			item.waiting = WaitingReason.Preempting
			return
		}
		const relief = this.preemption.plan(task, need, this.running)
		if (relief.length === 0) return
		item.waiting = WaitingReason.Preempting
		decisions.push(...relief)
	}

	private attemptGang(item: Pending, tasks: Task[], now: number, decisions: Decision[]): boolean {
		item.waiting = WaitingReason.Gang
		if (this.gang.holdsFor(item)) return false
		const need = this.estimator.need(tasks[0])
		if (this.failedAt[item.shape] === this.ledger.releases && !this.gang.free) return false
		const workers = this.gang.reserveAll(need, tasks.length)
		if (workers) {
			this.startGang(tasks, workers, need, now, decisions)
			return true
		}
		this.failedAt[item.shape] = this.ledger.releases
		this.gang.consider(item, need, now)
		return false
	}

	private continueGang(now: number, decisions: Decision[]): void {
		const held = this.gang.held
		if (!held) return
		const tasks = this.live(held)
		const complete = this.gang.extend(tasks.length, now)
		if (!complete) return
		this.account(tasks[0].team).waiting.remove(held, (left, right) => left === right)
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
		this.preemption.placed(task.id)
		this.enter({ task, worker, reserved, since: now, isBeingPreempted: false })
		const count = this.siblings
			.countsOf(task.intent)
			.countInRack(this.ledger.find(worker)?.rack ?? '')
		return { kind: 'start', task, worker, reason: reasonFor(task, count) }
	}

	private enter(running: RunningTask): void {
		const { task, worker, reserved } = running
		this.running.set(task.id, running)
		this.account(task.team).addUsage(reserved)
		this.siblings.adjust(task.intent, worker, this.ledger.find(worker)?.rack ?? '', 1)
	}

	private live(item: Pending): Task[] {
		if (item.cancelled === 0) return item.tasks as Task[]
		return item.tasks.filter((task) => this.pending.get(task.id) === item)
	}

	private account(name: string): TeamAccount {
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
			this.failedAt[shape] = NO_RELEASE
		}
		return shape
	}
}

function reasonFor(task: Task, inRack: number): string {
	switch (task.kind) {
		case IntentKind.Service:
			return `fits, with ${inRack - 1} of the same service in its rack`
		case IntentKind.Batch:
			return 'fits with the least left over'
		case IntentKind.Gang:
			return `all ${task.gangSize} tasks of the gang fit at once`
	}
}
