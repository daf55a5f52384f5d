/**
 * A seeded run of a whole cell on a clock moved by hand: the real replicas, controllers, intakes and workers'
 * model, with faults of every kind, alone and together. What must always hold is asserted by the program
 * itself and, where it takes more than one process to see it, here.
 */
import { SafetyChecker } from '@rillrudder/consensus'
import { SEVEN_INSTANCES } from '@rillrudder/fakes'
import { dataCentresOf, groupsOf, type Instance } from '@rillrudder/settings'
import { invariant, ManualClock, Random } from '@rillrudder/utils'
import { CellFault, Faults } from './Faults'
import { RunCallers, type CallerTally } from './RunCallers'
import { emptyControlDisk, RunControl, type ControlDisk } from './RunControl'
import { RunEntry } from './RunEntry'
import { RunNetwork } from './RunNetwork'
import { RunOperators, type OperatorTally } from './RunOperators'
import { RunProcess } from './RunProcess'
import { RunWorkers, type RunWorker } from './RunWorkers'

const STEP = 5
const LIST_EVERY = 500
/** The platform's list is this old. */
const LIST_LAG = 2000
const WORKERS_EACH = 4
const CLOCK_SPREAD = 0.05
/** A leaving worker may be offered new work for so long after it began to leave. */
const LEAVING_MOST = 3000
/** Offers that were on their way when the first refusal came. */
const FOUND_OUT_WITHIN = 100
/** Whatever was open when the faults ended is over after this. */
const SETTLE_FOR = 90_000
const CONFIGURATION_WITHIN = 8000

/** How a run is made. @public */
export interface CellRunOptions {
	readonly seed: number
	/** Faults a second of the run; each may bring a second one with it. */
	readonly faultRate: number
	/** Requests a second of the run. */
	readonly requestRate: number
}

/** What a run has done. @public */
export interface CellRunTally {
	/** Milliseconds of the run's own time. */
	elapsed: number
	readonly callers: CallerTally
	readonly operators: OperatorTally
	readonly faults: Record<CellFault, number>
	tasksSeen: number
}

/** An instance of a run: two processes and perhaps a disk. @internal */
export interface RunInstance {
	readonly instance: Instance
	readonly controlProcess: RunProcess
	readonly entryProcess: RunProcess
	control: RunControl
	entry: RunEntry
	disk?: ControlDisk
	/** When its entry process began a planned stop; absent when it does not stop. */
	leavingSince?: number
	/** The life of its entry process that a planned stop has ended. */
	stoppedLife?: number
}

const INSTANCES: readonly Instance[] = SEVEN_INSTANCES.map((one) => ({
	...one,
	address: `${one.id}:1`,
}))

/**
 * A seeded run of a whole cell.
 *
 * @example
 * ```ts
 * const run = new CellRun({ seed: 3, faultRate: 0.5, requestRate: 40 })
 * run.run(30_000)
 * run.settle()
 * ```
 * @public
 */
export class CellRun {
	readonly clock = new ManualClock()
	readonly random: Random
	readonly network: RunNetwork
	readonly workers: RunWorkers
	readonly instances: RunInstance[] = []
	readonly callers: RunCallers
	readonly operators: RunOperators
	readonly faults: Faults
	readonly witnesses: ReadonlyMap<string, SafetyChecker>
	private readonly shownBy = new Map<string, number>()
	/** For each process and worker the first offer after a worker should be known to leave. */
	private readonly lateOffers = new Map<string, number>()
	private tasksSeen = 0

	/** @param options - seed and rates. */
	constructor(readonly options: CellRunOptions) {
		this.random = new Random(options.seed)
		this.network = new RunNetwork(this.clock, this.random, areLinked)
		this.workers = new RunWorkers(this.clock, this.network, this.random, (process, worker) =>
			this.checkLeaving(process, worker)
		)
		this.witnesses = new Map(groupsOf(INSTANCES).map((group) => [group.name, new SafetyChecker()]))
		for (const name of dataCentresOf(INSTANCES)) this.workers.add(name, WORKERS_EACH)
		for (const instance of INSTANCES) this.add(instance)
		this.callers = new RunCallers(this, options.requestRate)
		this.operators = new RunOperators(this)
		this.faults = new Faults(this, options.faultRate)
		this.listWorkers()
		// The first leaders are elected before anything else happens.
		this.advance(3000)
	}

	/** What was done so far. */
	get tally(): CellRunTally {
		return {
			elapsed: this.clock.now(),
			callers: this.callers.tally,
			operators: this.operators.tally,
			faults: this.faults.counts,
			tasksSeen: this.tasksSeen,
		}
	}

	/** Lets callers, operators and faults go on for a while. */
	run(span: number): void {
		this.callers.start()
		this.operators.start()
		this.faults.start()
		this.advance(span)
	}

	/** Ends the faults, waits until nothing is open, and checks what must hold in the end. */
	settle(): void {
		this.callers.stop()
		this.operators.stop()
		this.faults.stop()
		const healedAt = this.clock.now()
		this.advance(CONFIGURATION_WITHIN)
		this.checkConfigurationEverywhere()
		while (this.clock.now() - healedAt < SETTLE_FOR) this.advance(1000)
		this.callers.check(this.workers.executions())
		this.checkNothingOpen()
	}

	/** Moves the clock, checking after every step. */
	advance(span: number): void {
		const end = this.clock.now() + span
		while (this.clock.now() < end) {
			this.clock.advance(Math.min(STEP, end - this.clock.now()))
			this.checkTasksInOnePlace()
		}
	}

	/** Starts a control process anew on what its disk holds. */
	startControl(one: RunInstance): void {
		one.controlProcess.start()
		one.control = new RunControl({
			process: one.controlProcess,
			self: one.instance,
			instances: INSTANCES,
			disk: one.disk,
			network: this.network,
			workers: this.workers,
			random: this.random,
			witnesses: this.witnesses,
			shown: (revision) => this.checkRevision(one.controlProcess.id, revision),
		})
		this.network.join(one.control)
	}

	/** Starts an entry process anew. */
	startEntry(one: RunInstance): void {
		one.entryProcess.start()
		one.leavingSince = undefined
		one.entry = new RunEntry({
			process: one.entryProcess,
			self: one.instance,
			instances: INSTANCES,
			network: this.network,
			workers: this.workers,
			random: this.random,
			shown: (revision) => this.checkRevision(one.entryProcess.id, revision),
		})
		this.network.join(one.entry)
	}

	private add(instance: Instance): void {
		const one = {
			instance,
			controlProcess: this.makeProcess(instance.id, instance.dataCentre),
			entryProcess: this.makeProcess(`${instance.id}/entry`, instance.dataCentre),
			disk: instance.disk ? emptyControlDisk() : undefined,
		} as RunInstance
		this.startControl(one)
		this.startEntry(one)
		this.instances.push(one)
	}

	private makeProcess(id: string, dataCentre: string): RunProcess {
		const rate = 1 + (this.random.fraction() * 2 - 1) * CLOCK_SPREAD
		return new RunProcess(id, dataCentre, this.clock, rate)
	}

	/** Each leader reads a list that is some time old. */
	private listWorkers(): void {
		this.clock.every(LIST_EVERY, () => {
			const list = this.workers.list()
			this.clock.after(LIST_LAG, () => {
				for (const { controlProcess, control } of this.instances) {
					controlProcess.act(controlProcess.life, () => control.list(list))
				}
			})
		})
	}

	private checkRevision(process: string, revision: number): void {
		const before = this.shownBy.get(process) ?? 0
		invariant(revision >= before, 'a process never shows a lower revision again', {
			process,
			before,
			revision,
		})
		this.shownBy.set(process, revision)
	}

	private checkConfigurationEverywhere(): void {
		const newest = Math.max(...this.instances.map((one) => one.control.revision))
		for (const { instance, control, entry } of this.instances) {
			const same = control.revision === newest && entry.revision === newest
			invariant(same, 'the accepted configuration is in force everywhere within seconds', {
				instance: instance.id,
				newest,
				control: control.revision,
				entry: entry.revision,
			})
		}
		invariant(newest >= this.operators.accepted, 'an accepted configuration never reverts', {
			newest,
			accepted: this.operators.accepted,
		})
	}

	/** A process that no leader can tell may find out by one refusal of its own, and only by one. */
	private checkLeaving(process: RunProcess, worker: RunWorker): void {
		const since = this.clock.now() - (worker.leftAt ?? this.clock.now())
		if (since <= LEAVING_MOST) return
		const name = `${process.id}.${process.life} ${worker.listed.id}`
		const last = this.lateOffers.get(name) ?? this.clock.now()
		this.lateOffers.set(name, last)
		const found = this.clock.now() - last <= FOUND_OUT_WITHIN
		invariant(found, 'a leaving worker gets no new work after seconds', {
			process: process.id,
			worker: worker.listed.id,
			since,
		})
	}

	private checkTasksInOnePlace(): void {
		const places = new Map<string, string>()
		for (const { model, listed } of this.workers.all) {
			for (const task of model.tasks) {
				const other = places.get(task)
				invariant(other === undefined, 'a task never runs in two places', {
					task,
					other,
					worker: listed.id,
				})
				places.set(task, listed.id)
			}
		}
		this.tasksSeen = Math.max(this.tasksSeen, places.size)
	}

	private checkNothingOpen(): void {
		for (const { entry, instance, control } of this.instances) {
			invariant(entry.idle, 'every request has an end', { instance: instance.id })
			for (const [name, driver] of control.drivers) {
				if (!driver.leads) continue
				const open = driver.state.requests.open
				invariant(open === 0, 'a leader has nothing open once all is quiet', { name, open })
			}
		}
		this.operators.check()
	}
}

/** Control processes hold links with each other, and entry processes with all control processes. */
function areLinked(left: string, right: string): boolean {
	return left !== right && !(left.endsWith('/entry') && right.endsWith('/entry'))
}
