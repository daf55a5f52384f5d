/** What goes wrong in a run of jobs, alone and in pairs. */
import { Refusal } from '@rillrudder/jobs'
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
	HeartbeatsHeld: 'heartbeats-held',
	CancelWave: 'cancel-wave',
	CarrierFrozen: 'carrier-frozen',
	CarrierKilled: 'carrier-killed',
	CarrierUnlinked: 'carrier-unlinked',
	/** The link goes silent without ending. */
	CarrierSilent: 'carrier-silent',
	CarrierCut: 'carrier-cut',
	/** All workers of a rack end at the same moment. */
	RackLost: 'rack-lost',
	/** All workers of a data centre do. */
	DataCentreLost: 'data-centre-lost',
	/** What a worker offers shrinks while it runs, and grows again. */
	RoomShrinks: 'room-shrinks',
	/** A worker ends without a word and starts again under the id that it had. */
	WorkerRestarted: 'worker-restarted',
	/** The same, and it is back before a poll that was out has shown that it was away. */
	WorkerRestartedAtOnce: 'worker-restarted-at-once',
	/** Most workers of a rack do so at the same moment. */
	RackRestarted: 'rack-restarted',
	/** Workers refuse some of the starts that they are ordered. */
	StartsRefused: 'starts-refused',
	/** The leader's process stands still, and then reads all that came meanwhile. */
	LeaderStalled: 'leader-stalled',
} as const
/** One of the faults. @public */
export type JobFault = (typeof JobFault)[keyof typeof JobFault]

/** Everything that can go wrong. @public */
export const ALL_FAULTS: readonly JobFault[] = Object.values(JobFault)

/** Everything but leaders that stand still: what seeds are played with that failed in such runs. @internal */
export const PROMPT_LEADER_FAULTS: readonly JobFault[] = ALL_FAULTS.filter(
	(fault) => fault !== JobFault.LeaderStalled
)

/** What only runs that ask for it have. */
const RARE_FAULTS: readonly JobFault[] = [
	'rack-lost',
	'data-centre-lost',
	'room-shrinks',
	'worker-restarted',
	'worker-restarted-at-once',
	'rack-restarted',
	'starts-refused',
	'leader-stalled',
]

/** What goes wrong in a run unless it says otherwise. @public */
export const COMMON_FAULTS: readonly JobFault[] = ALL_FAULTS.filter(
	(fault) => !RARE_FAULTS.includes(fault)
)

/** Waves of crashes besides. @public */
export const WAVES: readonly JobFault[] = [JobFault.RackLost, JobFault.DataCentreLost]

/** Workers that start again under the id that they had. @public */
export const RESTARTS: readonly JobFault[] = [
	JobFault.WorkerRestarted,
	JobFault.WorkerRestartedAtOnce,
	JobFault.RackRestarted,
]

/** What goes wrong between a leader and the instances that carry its orders, with what makes that matter. @public */
export const CARRIER_FAULTS: readonly JobFault[] = [
	JobFault.LeaderLost,
	JobFault.CarrierFrozen,
	JobFault.CarrierKilled,
	JobFault.CarrierUnlinked,
	JobFault.CarrierSilent,
	JobFault.CarrierCut,
	JobFault.CancelWave,
	JobFault.OrdersLate,
]

/** Of so many faults one brings a second with it. */
const SECOND_SHARE = 0.3
/** How long a fault lasts, the least and the most, in milliseconds. */
const LASTS = [300, 7000] as const
/** How long a worker is away that is back at once, the least and the most, in milliseconds. */
const AT_ONCE = [10, 200] as const
/** How long there is no leader, the least and the most, in milliseconds. */
const LEADERLESS = [50, 1500] as const
/** How long a leader stands still, the least and the most, in milliseconds. */
const STALLS = [100, 1200] as const
const LATE_SHARE = 0.06
const LOST_SHARE = 0.2
const CANCELLED_SHARE = 0.3
const HELD_SHARE = 0.5
const REFUSED_SHARE = 0.08
/** Why workers refuse a start that they could carry out; the other reasons follow from what they have done. */
const REFUSALS = [
	Refusal.LeaseExpired,
	Refusal.NoCapacity,
	Refusal.Ticket,
	Refusal.Unhealthy,
	Refusal.Invalid,
] as const

/**
 * The faults of a run.
 *
 * @internal
 */
export class JobFaults {
	lateShare = 0
	lostShare = 0
	/** Share of heartbeats that are held back. */
	heldShare = 0
	/** Share of starts that are refused. */
	private refusedShare = 0
	readonly counts: { [fault: string]: number } = {}
	private nextAt = 0

	constructor(
		private readonly run: JobRun,
		private readonly rate: number,
		private readonly kinds: readonly JobFault[]
	) {}

	/** @returns whether something may go wrong. */
	has(fault: JobFault): boolean {
		return this.kinds.includes(fault)
	}

	/** @returns why a worker refuses the start that it is about to carry out; undefined if it does not. */
	refusal(): Refusal | undefined {
		const { random } = this.run
		if (this.refusedShare === 0 || !random.chance(this.refusedShare)) return undefined
		return random.pick(REFUSALS)
	}

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
		this.heldShare = 0
		this.refusedShare = 0
		for (const machine of this.run.fleet.machines) {
			machine.cut = false
			machine.resize(1)
			machine.failing = false
			machine.stalled = false
		}
		for (const carrier of this.run.carriers) {
			carrier.cut = false
			carrier.linked = true
			carrier.silent = false
			carrier.thaw()
		}
	}

	private strike(): void {
		const { random, fleet } = this.run
		const fault = random.pick(this.kinds)
		const machine = random.pick(fleet.machines)
		const carrier = random.pick(this.run.carriers)
		const span = random.integer(...LASTS)
		this.counts[fault] = (this.counts[fault] ?? 0) + 1
		switch (fault) {
			case JobFault.LeaderLost:
				return this.run.loseLeader(random.integer(...LEADERLESS))
			case JobFault.LeaderStalled:
				return this.run.loop.stall(random.integer(...STALLS))
			case JobFault.WorkerLost:
				return fleet.crash(machine, span)
			case JobFault.RackLost:
				return this.crash(this.inRack(machine), span)
			case JobFault.DataCentreLost:
				return this.crash(this.besides(machine), span)
			case JobFault.WorkerRestarted:
				return fleet.restart(machine, span)
			case JobFault.WorkerRestartedAtOnce:
				return fleet.restart(machine, random.integer(...AT_ONCE))
			case JobFault.RackRestarted:
				for (const one of this.inRack(machine)) fleet.restart(one, span)
				return
			case JobFault.RoomShrinks:
				machine.resize(random.fraction())
				return this.later(span, () => machine.resize(1))
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
			case JobFault.HeartbeatsHeld:
				this.heldShare = HELD_SHARE
				return this.later(span, () => (this.heldShare = 0))
			case JobFault.StartsRefused:
				this.refusedShare = REFUSED_SHARE
				return this.later(span, () => (this.refusedShare = 0))
			case JobFault.CancelWave:
				return this.run.cancelSome(CANCELLED_SHARE)
			case JobFault.CarrierFrozen:
				return carrier.freeze(span)
			case JobFault.CarrierKilled:
				return carrier.kill()
			case JobFault.CarrierUnlinked:
				this.run.unlink(carrier)
				return this.later(span, () => (carrier.linked = true))
			case JobFault.CarrierSilent:
				carrier.silent = true
				return this.later(span, () => (carrier.silent = false))
			case JobFault.CarrierCut:
				carrier.cut = true
				return this.later(span, () => (carrier.cut = false))
		}
	}

	private crash(machines: readonly FleetWorker[], span: number): void {
		for (const machine of machines) this.run.fleet.crash(machine, span)
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

	private inRack({ worker }: FleetWorker): FleetWorker[] {
		return this.run.fleet.machines.filter((one) => one.worker.rack === worker.rack)
	}

	private later(span: number, call: () => void): void {
		this.run.clock.after(span, call)
	}
}
