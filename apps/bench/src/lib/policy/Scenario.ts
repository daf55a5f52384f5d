/** The same arrivals and mishaps for every policy, on simulated time. */
import { type Task } from '@rillrudder/scheduler'
import { IntentKind } from '@rillrudder/settings'
import { Random } from '@rillrudder/utils'
import Heap from 'heap-js'
import { histogram, percentile, record } from '../figures'
import { OurPolicy } from './OurPolicy'
import type { Policy } from './Policy'

/** What happens besides plain arrivals. */
export interface Mishaps {
	readonly name: string
	/** Arrivals against what the workers can bear. */
	readonly load: number
	/** Declared run times are wrong by up to this factor, either way. */
	readonly wrongBy: number
	/** Share of workers that fail everything they start. */
	readonly failing: number
	/** Whether a rack is lost in the middle. */
	readonly rackLost: boolean
	/** Whether half of what waits is cancelled in the middle. */
	readonly cancelWave: boolean
}

/** What came of it. */
export interface ScenarioResult {
	readonly policy: string
	/** Seconds. */
	readonly waitP50: number
	readonly waitP99: number
	readonly serviceP99: number
	readonly gangP50: number
	readonly gangP99: number
	readonly urgentP99: number
	/** Share of batch tasks with a deadline that missed it. */
	readonly missed: number
	/** Share of the processors given away while more was wanted. */
	readonly packed: number
	readonly microseconds: number
	readonly started: number
}

const WORKERS = 100
const RACK = 8
const SPAN = 1_200_000
const LOAD_UNTIL = 900_000
const ROUND = 500
const MEAN_RUN_TIME = 60_000
const FAILS_AFTER = 1000
const MEAN_NEED = 1450
const WARM_UP = 180_000

interface Ending {
	readonly at: number
	readonly task: Task
	readonly worker: string
	readonly begun: number
}

/** Runs one scenario under one policy. */
export class Scenario {
	private readonly random: Random
	private readonly endings = new Heap<Ending>((a, b) => a.at - b.at)
	private readonly waiting = new Map<string, Task>()
	private readonly trueRunTime = new Map<string, number>()
	private readonly broken = new Set<string>()
	private readonly lost = new Set<string>()
	private readonly all = histogram()
	private readonly services = histogram()
	private readonly gangs = histogram()
	private readonly urgents = histogram()
	private readonly running = new Map<string, Ending>()
	private made = 0
	private missed = 0
	private withDeadline = 0
	private spent = 0
	private decisions = 0
	private packedSum = 0
	private packedCount = 0

	constructor(
		private readonly policy: Policy,
		private readonly mishaps: Mishaps,
		seed: number
	) {
		this.random = new Random(seed)
	}

	run(): ScenarioResult {
		for (let number = 0; number < WORKERS; number++) this.join(number)
		const total = WORKERS * 22_000
		const rate = (total * this.mishaps.load) / (MEAN_NEED * MEAN_RUN_TIME)
		let next = 0
		for (let now = 0; now < SPAN; now += ROUND) {
			for (; next < now && next < LOAD_UNTIL; next += this.random.exponential(1 / rate)) {
				this.arrive(next)
			}
			this.end(now)
			if (now === LOAD_UNTIL / 2) this.mishap(now)
			this.decide(now)
		}
		return this.result()
	}

	private join(number: number): void {
		const large = number % 2 === 1
		const capacity = large
			? { cpu: 30_000, memory: 60 * 1024, accelerators: 0 }
			: { cpu: 14_000, memory: 28 * 1024, accelerators: number % 10 === 0 ? 8 : 0 }
		const id = `w${number}`
		this.policy.join({ id, rack: `r${Math.floor(number / RACK)}`, capacity, slots: 8 })
		if (this.random.chance(this.mishaps.failing)) this.broken.add(id)
	}

	private arrive(at: number): void {
		const draw = this.random.fraction()
		const kind = draw < 0.1 ? IntentKind.Service : draw < 0.97 ? IntentKind.Batch : IntentKind.Gang
		const size = kind === IntentKind.Gang ? this.random.integer(4, 16) : 1
		const need = {
			cpu: this.random.pick([250, 500, 1000, 2000, 4000]),
			memory: this.random.pick([256, 512, 1024, 2048, 8192]),
			accelerators: 0,
		}
		const runTime = this.random.exponential(MEAN_RUN_TIME) + 1000
		const number = ++this.made
		const tasks = Array.from({ length: size }, (_, position): Task => {
			const id = `t${number}.${position}`
			const wrong = this.mishaps.wrongBy ** (this.random.fraction() * 2 - 1)
			this.trueRunTime.set(id, runTime * wrong)
			const deadline = at + runTime * (1.5 + this.random.fraction() * 4)
			return {
				id,
				intent: `i${number % 40}`,
				team: `team-${number % 12}`,
				kind,
				need,
				urgent: kind === IntentKind.Batch && number % 50 === 0,
				deadline: kind === IntentKind.Batch && number % 2 === 0 ? deadline : undefined,
				runTime,
				submitted: at,
				checkpoints: false,
				gangSize: size,
			}
		})
		for (const task of tasks) this.waiting.set(task.id, task)
		this.policy.submit(tasks)
	}

	private end(now: number): void {
		for (let first = this.endings.peek(); first && first.at <= now; first = this.endings.peek()) {
			this.endings.pop()
			const { task, worker, begun, at } = first
			if (this.running.get(task.id) !== first) continue
			this.running.delete(task.id)
			const failed = this.broken.has(worker)
			this.policy.ended(task, worker, failed, at - begun, now)
			if (failed) this.again(task)
			else this.count(task, at)
		}
	}

	/** What failed or was lost is submitted again, and waits from its first submission. */
	private again(task: Task): void {
		this.waiting.set(task.id, task)
		const alone = {
			...task,
			gangSize: 1,
			kind: task.kind === 'gang' ? IntentKind.Batch : task.kind,
		}
		this.policy.submit([alone])
	}

	private count(task: Task, at: number): void {
		if (task.deadline === undefined || task.submitted < WARM_UP) return
		this.withDeadline += 1
		if (at > task.deadline) this.missed += 1
	}

	private mishap(now: number): void {
		if (this.mishaps.rackLost) {
			for (let number = 0; number < RACK; number++) this.lose(`w${number}`, now)
		}
		if (!this.mishaps.cancelWave) return
		for (const task of [...this.waiting.values()]) {
			if (!this.random.chance(0.5) || task.kind === IntentKind.Gang) continue
			this.waiting.delete(task.id)
			this.policy.cancel(task.id)
		}
	}

	private lose(worker: string, now: number): void {
		this.lost.add(worker)
		this.policy.lose(worker)
		for (const ending of [...this.running.values()]) {
			if (ending.worker !== worker) continue
			this.running.delete(ending.task.id)
			this.policy.ended(ending.task, worker, false, now - ending.begun, now)
			this.again(ending.task)
		}
	}

	private decide(now: number): void {
		if (this.policy instanceof OurPolicy) this.policy.reopen(now)
		const begun = process.hrtime.bigint()
		const placed = this.policy.decide(now)
		this.spent += Number(process.hrtime.bigint() - begun) / 1000
		this.decisions += placed.length
		for (const { task, worker } of placed) this.start(task, worker, now)
		if (this.waiting.size === 0 || now < WARM_UP || now > LOAD_UNTIL) return
		this.packedSum += this.policy.packed
		this.packedCount += 1
	}

	private start(task: Task, worker: string, now: number): void {
		this.waiting.delete(task.id)
		const span = this.broken.has(worker) ? FAILS_AFTER : (this.trueRunTime.get(task.id) ?? 0)
		const ending = { at: now + span, task, worker, begun: now }
		this.running.set(task.id, ending)
		this.endings.push(ending)
		if (this.broken.has(worker) || task.submitted < WARM_UP) return
		const wait = (now - task.submitted) / 1000
		record(this.all, wait)
		if (task.kind === IntentKind.Service) record(this.services, wait)
		if (task.gangSize > 1) record(this.gangs, wait)
		if (task.urgent) record(this.urgents, wait)
	}

	private result(): ScenarioResult {
		return {
			policy: this.policy.name,
			waitP50: percentile(this.all, 50),
			waitP99: percentile(this.all, 99),
			serviceP99: percentile(this.services, 99),
			gangP50: percentile(this.gangs, 50),
			gangP99: percentile(this.gangs, 99),
			urgentP99: percentile(this.urgents, 99),
			missed: this.missed / Math.max(1, this.withDeadline),
			packed: this.packedSum / Math.max(1, this.packedCount),
			microseconds: this.spent / Math.max(1, this.decisions),
			started: this.decisions,
		}
	}
}
