/** Injects faults into a run of jobs, one or two at a time. */
import { Refusal } from '@rillrudder/jobs'
import type { FleetWorker } from './FleetWorker'
import type { JobRun } from './JobRun'

/** The kinds of faults. @public */
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
	/** The link stays up but loses all messages. */
	CarrierSilent: 'carrier-silent',
	CarrierCut: 'carrier-cut',
	/** All workers of a rack crash at the same time. */
	RackLost: 'rack-lost',
	/** All workers of a data centre crash at the same time. */
	DataCentreLost: 'data-centre-lost',
	/** The capacity that a worker offers shrinks while it runs, and grows back later. */
	CapacityShrinks: 'room-shrinks',
	/** A worker crashes and starts again under the same name. */
	WorkerRestarted: 'worker-restarted',
	/**
	 * A worker restarts under the same name so fast that an open poll does not reveal its absence.
	 */
	WorkerRestartedAtOnce: 'worker-restarted-at-once',
	/** The workers of a rack restart under their names at the same time. */
	RackRestarted: 'rack-restarted',
	/** Workers refuse some starts. */
	StartsRefused: 'starts-refused',
	/** The leader's process stalls, and then handles all that arrived meanwhile. */
	LeaderStalled: 'leader-stalled',
	/** A worker crashes and its machine never comes back. */
	WorkerGone: 'worker-gone',
	/** A worker of each of several racks crashes at the same time, and none comes back. */
	WorkersGone: 'workers-gone',
} as const
/** One of the kinds of faults. @public */
export type JobFault = (typeof JobFault)[keyof typeof JobFault]

/** Faults whose workers never come back; a run has them only if it lists them. @public */
export const PERMANENT_LOSSES: readonly JobFault[] = [JobFault.WorkerGone, JobFault.WorkersGone]

/** All faults that end. @public */
export const ALL_FAULTS: readonly JobFault[] = Object.values(JobFault).filter(
	(fault) => !PERMANENT_LOSSES.includes(fault)
)

/**
 * All faults except stalled leaders, for regression seeds that were found without this fault.
 * @internal
 */
export const FAULTS_WITHOUT_LEADER_STALLS: readonly JobFault[] = ALL_FAULTS.filter(
	(fault) => fault !== JobFault.LeaderStalled
)

/** Faults that a run has only if it lists them. */
const OPTIONAL_FAULTS: readonly JobFault[] = [
	'rack-lost',
	'data-centre-lost',
	'room-shrinks',
	'worker-restarted',
	'worker-restarted-at-once',
	'rack-restarted',
	'starts-refused',
	'leader-stalled',
]

/** The default faults of a run. @public */
export const COMMON_FAULTS: readonly JobFault[] = ALL_FAULTS.filter(
	(fault) => !OPTIONAL_FAULTS.includes(fault)
)

/** Faults that crash many workers at the same time. @public */
export const CRASH_WAVES: readonly JobFault[] = [JobFault.RackLost, JobFault.DataCentreLost]

/** Faults that restart workers under their names. @public */
export const RESTART_FAULTS: readonly JobFault[] = [
	JobFault.WorkerRestarted,
	JobFault.WorkerRestartedAtOnce,
	JobFault.RackRestarted,
]

/**
 * Faults between a leader and the instances that carry its orders, and those that expose their
 * effects.
 * @public
 */
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

/** Share of faults that are followed by a second one at once. */
const SECOND_FAULT_SHARE = 0.3
/** Minimum and maximum duration of a fault. */
const DURATION_MS = [300, 7000] as const
/** Minimum and maximum downtime of a worker that restarts at once. */
const IMMEDIATE_RESTART_MS = [10, 200] as const
/** Minimum and maximum time without a leader. */
const LEADERLESS_MS = [50, 1500] as const
/** Minimum and maximum stall of a leader. */
const STALL_MS = [100, 1200] as const
const LATE_SHARE = 0.06
const LOST_SHARE = 0.2
const CANCELLED_SHARE = 0.3
const HELD_SHARE = 0.5
const REFUSED_SHARE = 0.08
/** Share of the workers that a wave of permanent losses takes, as far as their racks allow. */
const GONE_SHARE = 0.15
/**
 * Reasons for refusing a start that could be carried out; the other reasons follow from the state
 * of the worker.
 */
const REFUSALS = [
	Refusal.LeaseExpired,
	Refusal.NoCapacity,
	Refusal.Ticket,
	Refusal.Unhealthy,
	Refusal.Invalid,
] as const

/**
 * Injects the faults of a run.
 *
 * @internal
 */
export class JobFaults {
	lateOrderShare = 0
	lostAnswerShare = 0
	/** Share of heartbeats that the network holds back. */
	heldHeartbeatShare = 0
	/** Share of starts that are refused. */
	private refusedStartShare = 0
	readonly counts: { [fault: string]: number } = {}
	private nextAt = 0

	constructor(
		private readonly run: JobRun,
		private readonly rate: number,
		private readonly faults: readonly JobFault[]
	) {}

	/** @returns whether a fault may occur in this run. */
	has(fault: JobFault): boolean {
		return this.faults.includes(fault)
	}

	/**
	 * @returns why a worker refuses the start that it is about to carry out; undefined if it does
	 * not.
	 */
	randomRefusal(): Refusal | undefined {
		const { random } = this.run
		if (this.refusedStartShare === 0 || !random.chance(this.refusedStartShare)) return undefined
		return random.pick(REFUSALS)
	}

	/** Injects a fault if one is due. */
	tick(): void {
		const { clock, random } = this.run
		if (this.rate === 0 || clock.now() < this.nextAt) return
		this.nextAt = clock.now() + random.exponential(1000 / this.rate)
		this.injectFault()
		if (random.chance(SECOND_FAULT_SHARE)) this.injectFault()
	}

	/** Ends all faults. */
	endAll(): void {
		this.lateOrderShare = 0
		this.lostAnswerShare = 0
		this.heldHeartbeatShare = 0
		this.refusedStartShare = 0
		for (const machine of this.run.fleet.machines) {
			machine.isCutOff = false
			machine.resize(1)
			machine.isFailing = false
			machine.isStalled = false
		}
		for (const carrier of this.run.carriers) {
			carrier.isCutOff = false
			carrier.isLinked = true
			carrier.isDroppingMessages = false
			carrier.unfreeze()
		}
	}

	private injectFault(): void {
		const { random, fleet } = this.run
		const fault = random.pick(this.faults)
		const machine = random.pick(fleet.machines)
		const carrier = random.pick(this.run.carriers)
		const duration = random.integer(...DURATION_MS)
		this.counts[fault] = (this.counts[fault] ?? 0) + 1
		switch (fault) {
			case JobFault.LeaderLost:
				return this.run.loseLeader(random.integer(...LEADERLESS_MS))
			case JobFault.LeaderStalled:
				return this.run.loop.stall(random.integer(...STALL_MS))
			case JobFault.WorkerLost:
				return fleet.crash(machine, duration)
			case JobFault.RackLost:
				return this.crash(this.sameRack(machine), duration)
			case JobFault.DataCentreLost:
				return this.crash(this.sameDataCentre(machine), duration)
			case JobFault.WorkerRestarted:
				return fleet.restart(machine, duration)
			case JobFault.WorkerRestartedAtOnce:
				return fleet.restart(machine, random.integer(...IMMEDIATE_RESTART_MS))
			case JobFault.RackRestarted:
				for (const other of this.sameRack(machine)) fleet.restart(other, duration)
				return
			case JobFault.CapacityShrinks:
				machine.resize(random.fraction())
				return this.after(duration, () => machine.resize(1))
			case JobFault.WorkerGone:
				return fleet.loseForGood(machine)
			case JobFault.WorkersGone:
				for (const other of fleet.machines) {
					if (random.chance(GONE_SHARE)) fleet.loseForGood(other)
				}
				return
			case JobFault.WorkerCut:
				return this.cut([machine], duration)
			case JobFault.DataCentreCut:
				return this.cut(this.sameDataCentre(machine), duration)
			case JobFault.WorkerLeaving:
				return fleet.drain(machine)
			case JobFault.WorkerFailing:
				machine.isFailing = true
				return this.after(duration, () => (machine.isFailing = false))
			case JobFault.WorkerStalled:
				machine.isStalled = true
				return this.after(duration, () => (machine.isStalled = false))
			case JobFault.OrdersLate:
				this.lateOrderShare = LATE_SHARE
				return this.after(duration, () => (this.lateOrderShare = 0))
			case JobFault.AnswersLost:
				this.lostAnswerShare = LOST_SHARE
				return this.after(duration, () => (this.lostAnswerShare = 0))
			case JobFault.AdviceLost:
				this.run.advisers.lostAnswerShare = LOST_SHARE
				return this.after(duration, () => (this.run.advisers.lostAnswerShare = 0))
			case JobFault.HeartbeatsHeld:
				this.heldHeartbeatShare = HELD_SHARE
				return this.after(duration, () => (this.heldHeartbeatShare = 0))
			case JobFault.StartsRefused:
				this.refusedStartShare = REFUSED_SHARE
				return this.after(duration, () => (this.refusedStartShare = 0))
			case JobFault.CancelWave:
				return this.run.cancelSome(CANCELLED_SHARE)
			case JobFault.CarrierFrozen:
				return carrier.freeze(duration)
			case JobFault.CarrierKilled:
				return carrier.kill()
			case JobFault.CarrierUnlinked:
				this.run.unlink(carrier)
				return this.after(duration, () => (carrier.isLinked = true))
			case JobFault.CarrierSilent:
				carrier.isDroppingMessages = true
				return this.after(duration, () => (carrier.isDroppingMessages = false))
			case JobFault.CarrierCut:
				carrier.isCutOff = true
				return this.after(duration, () => (carrier.isCutOff = false))
		}
	}

	private crash(machines: readonly FleetWorker[], duration: number): void {
		for (const machine of machines) this.run.fleet.crash(machine, duration)
	}

	private cut(machines: readonly FleetWorker[], duration: number): void {
		for (const machine of machines) machine.isCutOff = true
		this.after(duration, () => {
			for (const machine of machines) machine.isCutOff = false
		})
	}

	private sameDataCentre({ worker }: FleetWorker): FleetWorker[] {
		return this.run.fleet.machines.filter((other) => other.worker.dataCentre === worker.dataCentre)
	}

	private sameRack({ worker }: FleetWorker): FleetWorker[] {
		return this.run.fleet.machines.filter((other) => other.worker.rack === worker.rack)
	}

	private after(duration: number, call: () => void): void {
		this.run.clock.after(duration, call)
	}
}
