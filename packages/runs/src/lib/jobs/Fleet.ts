/** The simulated workers of a run: their heartbeats, crashes, restarts and planned departures. */
import {
	formatIncarnation,
	type CellCall,
	type CellReply,
	type Heartbeat,
	type Worker,
} from '@rillrudder/jobs'
import { FleetWorker, type FleetWorkerParts } from './FleetWorker'
import { GangRegistry } from './GangRegistry'
import { WORKER_KINDS } from './randomJob'

/** Data centres of the workers. @internal */
export const FLEET_DATA_CENTRES: readonly string[] = ['vake', 'saburtalo', 'isani']
/** Workers in each data centre, unless the run sets another number. */
const DEFAULT_WORKERS_EACH = 4
/** Interval between two heartbeats of a worker. */
const HEARTBEAT_INTERVAL_MS = 1500
/** How long a leaving worker still serves after its heartbeat was acknowledged. */
const DRAIN_MS = 2500
/** How long a leaving worker waits for the acknowledgement before it ends anyway. */
const DRAIN_TIMEOUT_MS = 8000
const RACK_SIZE = 3
/** Most machines of a rack that are lost for good. */
const MAX_GONE_IN_RACK = 1
/** Minimum and maximum delay of a heartbeat that the network holds back. */
const HELD_HEARTBEAT_MS = [100, 6000] as const
/** Longest time for which an instance collects heartbeats before it relays them. */
const MAX_BATCH_DELAY_MS = 300

/** Dependencies of {@link Fleet}. @internal */
export interface FleetParts extends Omit<FleetWorkerParts, 'gangs'> {
	readonly service: string
	/** Workers in each data centre; a small default if absent. */
	readonly workersEach?: number
	/** Whether workers report when they started. */
	readonly reportsStartTime: boolean
	/** Relative speed of each worker, by its number; 1 if absent. */
	readonly speedOf?: (worker: number) => number
	/**
	 * @returns whether a machine that crashes now never comes back, and a fresh one joins instead.
	 */
	readonly isReplaced: () => boolean
	/** Share of heartbeats that the network holds back. */
	readonly heldHeartbeatShare: () => number
	/** @returns whether another instance relays a heartbeat, which tells nothing new; no if absent. */
	readonly isRelayed?: (heartbeat: Heartbeat) => boolean
	/** Delivers a call to the leader, if there is one. */
	readonly call: (call: CellCall, reply: (reply: CellReply) => void) => void
}

/**
 * The simulated workers of a run.
 *
 * @internal
 */
export class Fleet {
	readonly machines: FleetWorker[] = []
	readonly gangs: GangRegistry
	private readonly byAddress = new Map<string, FleetWorker>()
	private lastId = 0

	constructor(private readonly parts: FleetParts) {
		this.gangs = new GangRegistry(parts.clock)
		for (const dataCentre of FLEET_DATA_CENTRES) {
			for (let count = 0; count < (parts.workersEach ?? DEFAULT_WORKERS_EACH); count++)
				this.add(dataCentre)
		}
	}

	/** @returns the machine with an address. */
	machineAt(address: string): FleetWorker {
		return this.byAddress.get(address)!
	}

	/** Advances all machines to the current time. */
	tick(): void {
		for (const machine of this.machines) machine.tick()
	}

	/**
	 * Crashes a worker. After a downtime in milliseconds its machine, or a fresh one at another
	 * address, starts a worker with another name.
	 */
	crash(machine: FleetWorker, downtime: number): void {
		if (!machine.isUp) return
		if (!this.parts.isReplaced()) return this.end(machine, downtime)
		machine.isGone = true
		machine.crash()
		this.parts.clock.after(downtime, () => this.replace(machine))
	}

	/**
	 * Crashes a worker, which starts again under the same name after a downtime in milliseconds.
	 */
	restart(machine: FleetWorker, downtime: number): void {
		if (!machine.isUp) return
		machine.crash()
		this.parts.clock.after(downtime, () => machine.restart())
	}

	/**
	 * Crashes a worker whose machine never comes back, unless its rack would keep too few machines
	 * for the work.
	 */
	loseForGood(machine: FleetWorker): void {
		if (!machine.isUp) return
		const { rack } = machine.worker
		const gone = this.machines.filter((other) => other.isGone && other.worker.rack === rack)
		if (gone.length >= MAX_GONE_IN_RACK) return
		machine.isGone = true
		machine.crash()
	}

	/** Drains a worker, which leaves; its machine starts another worker later. */
	drain(machine: FleetWorker): void {
		if (!machine.isUp || machine.isDraining) return
		machine.isDraining = true
		const { clock } = this.parts
		const { id } = machine.worker
		this.sendHeartbeat(machine, () => clock.after(DRAIN_MS, () => this.leave(machine, id)))
		clock.after(DRAIN_TIMEOUT_MS, () => this.leave(machine, id))
	}

	private leave(machine: FleetWorker, id: string): void {
		if (!machine.isUp || machine.worker.id !== id) return
		this.parts.call({ kind: 'leave', worker: id }, () => undefined)
		this.end(machine, DRAIN_MS)
	}

	private end(machine: FleetWorker, downtime: number): void {
		machine.crash()
		this.parts.clock.after(downtime, () => machine.startAs(this.nextId()))
	}

	private replace(gone: FleetWorker): void {
		const { dataCentre, rack, labels } = gone.worker
		const fresh = this.newMachine({ dataCentre, rack, labels }, gone.speed)
		this.machines[this.machines.indexOf(gone)] = fresh
	}

	private add(dataCentre: string): void {
		const number = this.machines.length
		const rack = `r${Math.floor(number / RACK_SIZE)}`
		const kind = WORKER_KINDS[number % WORKER_KINDS.length]
		const speed = this.parts.speedOf?.(number) ?? 1
		this.machines.push(this.newMachine({ dataCentre, rack, labels: [kind, rack] }, speed))
	}

	private newMachine(
		place: Pick<Worker, 'dataCentre' | 'rack' | 'labels'>,
		speed: number
	): FleetWorker {
		const born = this.parts.reportsStartTime ? this.parts.clock.date().getTime() : undefined
		const worker: Worker = {
			...place,
			id: formatIncarnation({ name: this.nextId(), born }),
			born,
			service: this.parts.service,
			address: `10.0.0.${this.byAddress.size}:80`,
			capacity: { cpu: 4000, memory: 8192, accelerators: 0 },
			slots: 8,
		}
		const machine = new FleetWorker({ ...this.parts, gangs: this.gangs }, worker)
		machine.speed = speed
		this.byAddress.set(worker.address, machine)
		this.repeatHeartbeats(machine)
		return machine
	}

	private repeatHeartbeats(machine: FleetWorker): void {
		this.sendHeartbeat(machine, () => undefined)
		this.parts.clock.after(HEARTBEAT_INTERVAL_MS, () => this.repeatHeartbeats(machine))
	}

	private sendHeartbeat(machine: FleetWorker, acknowledged: () => void): void {
		if (!machine.isUp || machine.isCutOff) return
		const { worker, isDraining, ownClock: clock } = machine
		const sequence = ++machine.sequence
		const remaining = isDraining ? DRAIN_MS : undefined
		const heartbeat = { worker, sequence, draining: isDraining, remaining, clock }
		const { clock: time, random, heldHeartbeatShare, call } = this.parts
		if (this.parts.isRelayed?.(heartbeat)) return this.relay(heartbeat)
		const arrive = (): void => call({ kind: 'heartbeat', heartbeat }, acknowledged)
		if (random.chance(heldHeartbeatShare()))
			time.after(random.integer(...HELD_HEARTBEAT_MS), arrive)
		else arrive()
	}

	/** Delivers a heartbeat in the next batch of another instance. */
	private relay({ worker, sequence, clock }: Heartbeat): void {
		const age = this.parts.random.integer(0, MAX_BATCH_DELAY_MS)
		const heard = [{ worker: worker.id, sequence, clock, age }]
		this.parts.clock.after(age, () =>
			this.parts.call({ kind: 'heartbeats', heard }, () => undefined)
		)
	}

	private nextId(): string {
		return `w${++this.lastId}`
	}
}
