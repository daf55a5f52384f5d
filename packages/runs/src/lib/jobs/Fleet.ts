/** The workers of a run: their heartbeats, and how they leave and come back. */
import { formatIncarnation, type CellCall, type CellReply, type Worker } from '@rillrudder/jobs'
import { FleetWorker, type FleetWorkerParts } from './FleetWorker'
import { GangRegistry } from './GangRegistry'
import { KINDS } from './randomJob'

/** Where the workers are. @internal */
export const DATA_CENTRES: readonly string[] = ['vake', 'saburtalo', 'isani']
/** Workers in each data centre, unless a run asks for more. */
const WORKERS_EACH = 4
/** Milliseconds between two heartbeats of a worker. */
const HEARTBEAT_EVERY = 1500
/** Milliseconds that a leaving worker still serves after it was heard. */
const SERVES_ON = 2500
/** Milliseconds after which it ends although nobody has heard it. */
const ENDS_ANYWAY = 8000
const RACK_SIZE = 3
/** Milliseconds for which a cut holds a heartbeat back, the least and the most. */
const HELD = [100, 6000] as const

/** What the fleet needs of its run. @internal */
export interface FleetParts extends Omit<FleetWorkerParts, 'gangs'> {
	readonly service: string
	/** Workers in each data centre; a few if absent. */
	readonly workersEach?: number
	/** Whether workers say when they started. */
	readonly tellBorn: boolean
	/** How fast each worker works, by its number; as fast as tasks declare if absent. */
	readonly speedOf?: (worker: number) => number
	/** Share of heartbeats that are held back on their way. */
	readonly heldShare: () => number
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
	private lives = 0

	constructor(private readonly parts: FleetParts) {
		this.gangs = new GangRegistry(parts.clock)
		for (const dataCentre of DATA_CENTRES) {
			for (let count = 0; count < (parts.workersEach ?? WORKERS_EACH); count++) this.add(dataCentre)
		}
	}

	/** @returns the machine at an address. */
	at(address: string): FleetWorker {
		return this.byAddress.get(address)!
	}

	/** Lets time pass. */
	tick(): void {
		for (const machine of this.machines) machine.tick()
	}

	/** A worker ends without a word; its machine comes back under another id after a while. */
	crash(machine: FleetWorker, away: number): void {
		if (!machine.up) return
		machine.crash()
		this.parts.clock.after(away, () => machine.rise(this.nextId()))
	}

	/** A worker ends without a word, and starts again under the name that it had. */
	restart(machine: FleetWorker, away: number): void {
		if (!machine.up) return
		machine.crash()
		this.parts.clock.after(away, () => machine.riseAgain())
	}

	/** A worker leaves as planned; another life of its machine comes later. */
	drain(machine: FleetWorker): void {
		if (!machine.up || machine.draining) return
		machine.draining = true
		const { clock } = this.parts
		const { id } = machine.worker
		this.beat(machine, () => clock.after(SERVES_ON, () => this.leave(machine, id)))
		clock.after(ENDS_ANYWAY, () => this.leave(machine, id))
	}

	private leave(machine: FleetWorker, id: string): void {
		if (!machine.up || machine.worker.id !== id) return
		this.parts.call({ kind: 'leave', worker: id }, () => undefined)
		this.crash(machine, SERVES_ON)
	}

	private add(dataCentre: string): void {
		const number = this.machines.length
		const rack = `r${Math.floor(number / RACK_SIZE)}`
		const kind = KINDS[number % KINDS.length]
		const born = this.parts.tellBorn ? this.parts.clock.date().getTime() : undefined
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
		this.beatOn(machine)
	}

	private beatOn(machine: FleetWorker): void {
		this.beat(machine, () => undefined)
		this.parts.clock.after(HEARTBEAT_EVERY, () => this.beatOn(machine))
	}

	private beat(machine: FleetWorker, acknowledged: () => void): void {
		if (!machine.up || machine.cut) return
		const { worker, draining, ownClock: clock } = machine
		const sequence = ++machine.sequence
		const remaining = draining ? SERVES_ON : undefined
		const heartbeat = { worker, sequence, draining, remaining, clock }
		const { clock: time, random, heldShare, call } = this.parts
		const arrive = (): void => call({ kind: 'heartbeat', heartbeat }, acknowledged)
		if (random.chance(heldShare())) time.after(random.integer(...HELD), arrive)
		else arrive()
	}

	private nextId(): string {
		return `w${++this.lives}`
	}
}
