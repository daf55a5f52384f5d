/** What goes wrong in a run of jobs, alone and in pairs. */
import type { FleetWorker } from './FleetWorker'
import type { JobRun } from './JobRun'

/** What can go wrong. @public */
export const JobFault = {
	LeaderLost: 'leader-lost',
	WorkerLost: 'worker-lost',
	WorkerCut: 'worker-cut',
	DataCentreCut: 'data-centre-cut',
	WorkerLeaving: 'worker-leaving',
	WorkerFailing: 'worker-failing',
	WorkerStalled: 'worker-stalled',
	OrdersLate: 'orders-late',
	AnswersLost: 'answers-lost',
	AdviceLost: 'advice-lost',
	CancelWave: 'cancel-wave',
} as const
/** One of the faults. @public */
export type JobFault = (typeof JobFault)[keyof typeof JobFault]

/** Of so many faults one brings a second with it. */
const SECOND_SHARE = 0.3
/** How long a fault lasts, the least and the most, in milliseconds. */
const LASTS = [300, 7000] as const
/** How long there is no leader, the least and the most, in milliseconds. */
const LEADERLESS = [50, 1500] as const
const LATE_SHARE = 0.06
const LOST_SHARE = 0.2
const CANCELLED_SHARE = 0.3

/**
 * The faults of a run.
 *
 * @internal
 */
export class JobFaults {
	lateShare = 0
	lostShare = 0
	readonly counts: { [fault: string]: number } = {}
	private nextAt = 0

	constructor(
		private readonly run: JobRun,
		private readonly rate: number
	) {}

	/** Lets something go wrong, where that is due. */
	step(): void {
		const { clock, random } = this.run
		if (this.rate === 0 || clock.now() < this.nextAt) return
		this.nextAt = clock.now() + random.exponential(1000 / this.rate)
		this.strike()
		if (random.chance(SECOND_SHARE)) this.strike()
	}

	/** Mends everything that is wrong. */
	end(): void {
		this.lateShare = 0
		this.lostShare = 0
		for (const machine of this.run.fleet.machines) {
			machine.cut = false
			machine.failing = false
			machine.stalled = false
		}
	}

	private strike(): void {
		const { random, fleet } = this.run
		const fault = random.pick(Object.values(JobFault))
		const machine = random.pick(fleet.machines)
		const span = random.integer(...LASTS)
		this.counts[fault] = (this.counts[fault] ?? 0) + 1
		switch (fault) {
			case JobFault.LeaderLost:
				return this.run.loseLeader(random.integer(...LEADERLESS))
			case JobFault.WorkerLost:
				return fleet.crash(machine, span)
			case JobFault.WorkerCut:
				return this.cut([machine], span)
			case JobFault.DataCentreCut:
				return this.cut(this.besides(machine), span)
			case JobFault.WorkerLeaving:
				return fleet.drain(machine)
			case JobFault.WorkerFailing:
				machine.failing = true
				return this.later(span, () => (machine.failing = false))
			case JobFault.WorkerStalled:
				machine.stalled = true
				return this.later(span, () => (machine.stalled = false))
			case JobFault.OrdersLate:
				this.lateShare = LATE_SHARE
				return this.later(span, () => (this.lateShare = 0))
			case JobFault.AnswersLost:
				this.lostShare = LOST_SHARE
				return this.later(span, () => (this.lostShare = 0))
			case JobFault.AdviceLost:
				this.run.advisers.lostShare = LOST_SHARE
				return this.later(span, () => (this.run.advisers.lostShare = 0))
			case JobFault.CancelWave:
				return this.run.cancelSome(CANCELLED_SHARE)
		}
	}

	private cut(machines: readonly FleetWorker[], span: number): void {
		for (const machine of machines) machine.cut = true
		this.later(span, () => {
			for (const machine of machines) machine.cut = false
		})
	}

	private besides({ worker }: FleetWorker): FleetWorker[] {
		return this.run.fleet.machines.filter((one) => one.worker.dataCentre === worker.dataCentre)
	}

	private later(span: number, call: () => void): void {
		this.run.clock.after(span, call)
	}
}
