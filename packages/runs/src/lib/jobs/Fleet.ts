/** The workers of a run: their heartbeats, and how they leave and come back. */
import { formatIncarnation, type CellCall, type CellReply, type Worker } from '@rillrudder/jobs'
import { FleetWorker, type FleetWorkerParts } from './FleetWorker'
import { GangRegistry } from './GangRegistry'
import { WORKER_KINDS } from './randomJob'

/** Where the workers are. @internal */
export const FLEET_DATA_CENTRES: readonly string[] = ['vake', 'saburtalo', 'isani']
/** Workers in each data centre, unless a run asks for more. */
const DEFAULT_WORKERS_EACH = 4
/** Milliseconds between two heartbeats of a worker. */
const HEARTBEAT_INTERVAL_MS = 1500
/** Milliseconds that a leaving worker still serves after it was heard. */
const DRAIN_MS = 2500
/** Milliseconds after which it ends although nobody has heard it. */
const DRAIN_TIMEOUT_MS = 8000
const RACK_SIZE = 3
/** Milliseconds for which a cut holds a heartbeat back, the least and the most. */
const HELD_HEARTBEAT_MS = [100, 6000] as const

/** What the fleet needs of its run. @internal */
export interface FleetParts extends Omit<FleetWorkerParts, 'gangs'> {
	readonly service: string
	/** Workers in each data centre; a few if absent. */
	readonly workersEach?: number
	/** Whether workers say when they started. */
	readonly reportsStartTime: boolean
	/** How fast each worker works, by its number; as fast as tasks declare if absent. */
	readonly speedOf?: (worker: number) => number
	/** Share of heartbeats that are held back on their way. */
	readonly heldHeartbeatShare: () => number
	/** Brings a call to the leader, if there is one. */
	readonly call: (call: CellCall, reply: (reply: CellReply) => void) => void
}

/**
 * The workers of a run.
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

	/** @returns the machine at an address. */
	machineAt(address: string): FleetWorker {
		return this.byAddress.get(address)!
	}

	/** Lets time pass. */
	tick(): void {
		for (const machine of this.machines) machine.tick()
	}

	/** A worker ends without a word; its machine comes back under another id after a while. */
	crash(machine: FleetWorker, downtime: number): void {
		if (!machine.isUp) return
		machine.crash()
		this.parts.clock.after(downtime, () => machine.startAs(this.nextId()))
	}

	/** A worker ends without a word, and starts again under the name that it had. */
	restart(machine: FleetWorker, downtime: number): void {
		if (!machine.isUp) return
		machine.crash()
		this.parts.clock.after(downtime, () => machine.restart())
	}

	/** A worker leaves as planned; another life of its machine comes later. */
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
		this.crash(machine, DRAIN_MS)
	}

	private add(dataCentre: string): void {
		const number = this.machines.length
		const rack = `r${Math.floor(number / RACK_SIZE)}`
		const kind = WORKER_KINDS[number % WORKER_KINDS.length]
		const born = this.parts.reportsStartTime ? this.parts.clock.date().getTime() : undefined
		const worker: Worker = {
			id: formatIncarnation({ name: this.nextId(), born }),
			born,
			service: this.parts.service,
			address: `10.0.0.${number}:80`,
			dataCentre,
			rack,
			labels: [kind, rack],
			capacity: { cpu: 4000, memory: 8192, accelerators: 0 },
			slots: 8,
		}
		const machine = new FleetWorker({ ...this.parts, gangs: this.gangs }, worker)
		machine.speed = this.parts.speedOf?.(number) ?? 1
		this.machines.push(machine)
		this.byAddress.set(worker.address, machine)
		this.repeatHeartbeats(machine)
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
		const arrive = (): void => call({ kind: 'heartbeat', heartbeat }, acknowledged)
		if (random.chance(heldHeartbeatShare()))
			time.after(random.integer(...HELD_HEARTBEAT_MS), arrive)
		else arrive()
	}

	private nextId(): string {
		return `w${++this.lastId}`
	}
}
