/** Faults of every kind that a cell has to bear, alone and in pairs. */
import type { CellRun, RunInstance } from './CellRun'
import { emptyControlDisk } from './RunControl'
import type { RunProcess } from './RunProcess'

const SECOND_SHARE = 0.3
const SHORTEST = 100
const LONGEST = 6000
/** Entry instances go on taking requests for so long after a planned stop began. */
const STOP_DELAY = 300
const STOP_LOOK = 100

/** What can go wrong. @public */
export const CellFault = {
	ControlKilled: 'control-killed',
	ControlPaused: 'control-paused',
	ControlStopped: 'control-stopped',
	DiskLost: 'disk-lost',
	EntryKilled: 'entry-killed',
	EntryPaused: 'entry-paused',
	EntryStopped: 'entry-stopped',
	DataCentreCut: 'data-centre-cut',
	OneWayCut: 'one-way-cut',
	WorkerLost: 'worker-lost',
	WorkerSilent: 'worker-silent',
	WorkerLeaving: 'worker-leaving',
	WorkerFailing: 'worker-failing',
	CancelWave: 'cancel-wave',
	Burst: 'burst',
	Race: 'race',
} as const
/** One of the faults. @public */
export type CellFault = (typeof CellFault)[keyof typeof CellFault]

/**
 * The faults of a run.
 *
 * @internal
 */
export class Faults {
	readonly counts = Object.fromEntries(
		Object.values(CellFault).map((fault) => [fault, 0])
	) as Record<CellFault, number>
	private active = false
	private begun = false

	constructor(
		private readonly run: CellRun,
		private readonly rate: number
	) {}

	start(): void {
		this.active = true
		if (this.begun || this.rate === 0) return
		this.begun = true
		this.next()
	}

	/** Ends everything that is wrong. */
	stop(): void {
		this.active = false
		this.run.network.heal()
		for (const one of this.run.instances) {
			if (!one.controlProcess.alive) this.run.startControl(one)
			if (!one.entryProcess.alive) this.run.startEntry(one)
			one.controlProcess.wake()
			one.entryProcess.wake()
		}
		for (const worker of this.run.workers.all) {
			worker.down = false
			worker.model.settings.silent = false
			worker.model.settings.failing = 0
		}
	}

	/** Brings a fault about. @returns whether it could be. */
	inflict(fault: CellFault): boolean {
		const { random, instances, workers, callers, operators } = this.run
		const span = random.integer(SHORTEST, LONGEST)
		const one = random.pick(instances)
		const worker = random.pick(workers.all)
		const { settings } = worker.model
		switch (fault) {
			case CellFault.ControlKilled:
				return this.killControl(one, span)
			case CellFault.ControlPaused:
				one.controlProcess.pause(span)
				return true
			case CellFault.ControlStopped:
				return this.stopControl(one, span)
			case CellFault.DiskLost:
				return this.loseDisk(one, span)
			case CellFault.EntryKilled:
				return this.killEntry(one, span)
			case CellFault.EntryPaused:
				one.entryProcess.pause(span)
				return true
			case CellFault.EntryStopped:
				return this.stopEntry(one)
			case CellFault.DataCentreCut:
				this.cutDataCentre(one.instance.dataCentre, span)
				return true
			case CellFault.OneWayCut:
				this.cutOneWay(one, span)
				return true
			case CellFault.WorkerLost:
				worker.down = true
				this.later(span, () => (worker.down = false))
				return true
			case CellFault.WorkerSilent:
				settings.silent = true
				this.later(span, () => (settings.silent = false))
				return true
			case CellFault.WorkerLeaving:
				worker.leftAt ??= this.run.clock.now()
				settings.leaving = true
				return true
			case CellFault.WorkerFailing:
				settings.failing = 1
				this.later(span, () => (settings.failing = 0))
				return true
			case CellFault.CancelWave:
				operators.cancelAll()
				return true
			case CellFault.Burst:
				callers.burst(100)
				return true
			case CellFault.Race:
				operators.race()
				return true
		}
	}

	private next(): void {
		const { random, clock } = this.run
		clock.after(random.exponential(1000 / this.rate), () => {
			if (this.active) this.draw()
			this.next()
		})
	}

	private draw(): void {
		const { random } = this.run
		const count = random.chance(SECOND_SHARE) ? 2 : 1
		for (let number = 0; number < count; number++) {
			const fault = random.pick(Object.values(CellFault))
			if (this.isLastWorker(fault)) continue
			if (this.inflict(fault)) this.counts[fault] += 1
		}
	}

	/** Some workers of each data centre stay, so that there is somewhere to run. */
	private isLastWorker(fault: CellFault): boolean {
		if (fault !== CellFault.WorkerLeaving) return false
		const staying = this.run.workers.all.filter((worker) => worker.leftAt === undefined)
		return staying.length <= this.run.workers.all.length / 2
	}

	private killControl(one: RunInstance, span: number): boolean {
		if (!one.controlProcess.alive || !this.mayForget(one)) return false
		this.down(one.controlProcess)
		this.later(span, () => {
			if (!one.controlProcess.alive) this.run.startControl(one)
		})
		return true
	}

	private stopControl(one: RunInstance, span: number): boolean {
		if (!one.controlProcess.alive || !this.mayForget(one)) return false
		one.control.handOver()
		this.later(STOP_DELAY, () => void this.killControl(one, span))
		return true
	}

	private loseDisk(one: RunInstance, span: number): boolean {
		if (!one.disk || !this.othersWhole(one) || !this.killControl(one, span)) return false
		// What an instance has shown goes with its disk; the revision is kept by the others.
		const { revision } = one.disk
		one.disk = { ...emptyControlDisk(), revision }
		return true
	}

	private killEntry(one: RunInstance, span: number): boolean {
		if (!one.entryProcess.alive) return false
		this.down(one.entryProcess)
		this.later(span, () => {
			if (!one.entryProcess.alive) this.run.startEntry(one)
		})
		return true
	}

	/** A planned stop ends only once everything in flight has its answer. */
	private stopEntry(one: RunInstance): boolean {
		if (!one.entryProcess.alive) return false
		const { life } = one.entryProcess
		one.entry.leave()
		one.leavingSince ??= this.run.clock.now()
		const look = (): void => {
			if (one.entryProcess.life !== life || !one.entryProcess.alive) return
			if (!one.entry.idle || one.entryProcess.paused) {
				this.later(STOP_LOOK, look)
				return
			}
			one.stoppedLife = life
			this.killEntry(one, STOP_DELAY)
		}
		this.later(STOP_DELAY, look)
		return true
	}

	/** Cuts a data centre off from the others for a while. */
	cutDataCentre(dataCentre: string, span: number): void {
		const inside = (process: RunProcess) => process.dataCentre === dataCentre
		for (const from of this.processes()) {
			for (const to of this.processes()) {
				if (inside(from) !== inside(to)) this.run.network.cut(from.id, to.id, span)
			}
			for (const other of ['isani', 'saburtalo', 'vake']) {
				if (inside(from) === (other === dataCentre)) continue
				this.run.network.cut(from.id, other, span)
			}
		}
	}

	private cutOneWay(one: RunInstance, span: number): void {
		for (const to of this.processes()) {
			this.run.network.cut(one.controlProcess.id, to.id, span)
		}
	}

	private processes(): RunProcess[] {
		return this.run.instances.flatMap((one) => [one.controlProcess, one.entryProcess])
	}

	private down(process: RunProcess): void {
		process.kill()
		this.run.network.leave(process.id)
	}

	/** An instance without a disk forgets; two that forget at once would lose what only they had. */
	private mayForget(one: RunInstance): boolean {
		return one.disk !== undefined || this.othersWhole(one)
	}

	/** Whether every other replica of its groups is up, a voter, and has all that was committed. */
	private othersWhole(one: RunInstance): boolean {
		return one.control.memberOf.every((group) => {
			const known = this.run.witnesses.get(group)?.committedCount ?? 0
			return this.run.instances.every((other) => {
				const running = other.control.replicaOf(group)
				if (other === one || !running) return true
				const { members, commit } = running.replica.status
				const self = members.find((member) => member.id === other.instance.id)
				return other.controlProcess.alive && self?.voter === true && commit >= known
			})
		})
	}

	private later(span: number, call: () => void): void {
		this.run.clock.after(span, call)
	}
}
