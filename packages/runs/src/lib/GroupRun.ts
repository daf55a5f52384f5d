/**
 * A seeded run of one group: replicas with their own clocks and disks, and a network that loses,
 * delays, repeats and reorders. What must hold is asserted by the replicas' own code and its witness.
 */
import {
	DEFAULT_TIMING,
	SafetyChecker,
	type Founder,
	type ReplicaStatus,
	type Snapshot,
} from '@rillrudder/consensus'
import { EntryKind, type Entry } from '@rillrudder/protocol'
import { invariant, ManualClock, Random } from '@rillrudder/utils'
import { GroupNetwork, type Flight } from './GroupNetwork'
import { RunNode, wipe } from './RunNode'
import { RunReplica } from './RunReplica'
import { Consistency } from './Consistency'

const STEP = 10
const SYNC_MOST = 30
const COMPACT_EVERY = 60

/** What can go wrong in a run. @public */
export const Fault = {
	Restart: 'restart',
	Pause: 'pause',
	CutOff: 'cut-off',
	OneWay: 'one-way',
	LostDisk: 'lost-disk',
	HandOver: 'hand-over',
	/** Only where the membership is open: one is gone for good, and an empty one comes under a new name. */
	Replace: 'replace',
	/** Only where machines are suspended: one stands still, and so does its steady clock. */
	Suspend: 'suspend',
} as const
/** One of the faults. @public */
export type Fault = (typeof Fault)[keyof typeof Fault]

/** What a run has done so far. @public */
export interface GroupRunTally {
	steps: number
	elections: number
	committed: number
	snapshotsInstalled: number
	readonly faults: Record<Fault, number>
}

/** How a run is made. @public */
export interface GroupRunOptions {
	readonly seed: number
	readonly founders: readonly Founder[]
	/** Probability of a new fault in a step of 10 ms. */
	readonly faultRate: number
	/** Whether instances join and leave; the founders only begin. */
	readonly open?: boolean
	/** Whether machines are suspended. */
	readonly suspensions?: boolean
}

/**
 * One seeded run.
 *
 * @example
 * ```ts
 * const run = new GroupRun({ seed: 7, founders, faultRate: 0.02 })
 * run.steps(10_000)
 * run.settle()
 * ```
 * @public
 */
export class GroupRun {
	readonly tally: GroupRunTally = {
		steps: 0,
		elections: 0,
		committed: 0,
		snapshotsInstalled: 0,
		faults: {
			restart: 0,
			pause: 0,
			'cut-off': 0,
			'one-way': 0,
			'lost-disk': 0,
			'hand-over': 0,
			replace: 0,
			suspend: 0,
		},
	}
	private readonly random: Random
	private readonly witness = new SafetyChecker()
	private readonly nodes = new Map<string, RunNode>()
	private readonly clock = new ManualClock()
	private readonly network: GroupNetwork
	private readonly wholeness: Consistency
	private faults = true
	private proposing = true
	private lives = 0
	private proposals = 0
	private lastLeader = ''

	/** @param options - seed, founders and how often faults come. */
	constructor(private readonly options: GroupRunOptions) {
		this.random = new Random(options.seed)
		this.network = new GroupNetwork({
			clock: this.clock,
			random: this.random,
			ids: () => this.nodes.keys(),
			deliver: (flight) => this.deliver(flight),
		})
		this.wholeness = new Consistency(this.nodes, this.witness, options.open ?? false)
		const { drift } = DEFAULT_TIMING
		for (const founder of options.founders) {
			const rate = 1 + (this.random.fraction() * 2 - 1) * drift
			const node = new RunNode(founder, rate, this.random.integer(0, 100_000))
			this.nodes.set(founder.id, node)
			this.boot(node)
		}
	}

	/** @param count - how many steps of 10 ms to make. */
	steps(count: number): void {
		for (let step = 0; step < count; step++) this.step()
	}

	/** @returns the replica that leads and holds its lease now; empty when none does. */
	get leader(): string {
		for (const [id, node] of this.nodes) {
			if (this.awake(node) && node.running.mayAct) return id
		}
		return ''
	}

	/** @returns what a replica tells of itself. */
	statusOf(id: string): ReplicaStatus {
		return this.node(id).replica.status
	}

	/** @returns whether a replica may act at this moment of its own clock. */
	mayAct(id: string): boolean {
		return this.node(id).running.mayAct
	}

	/** Adds commands through a replica, without waiting for anything. */
	propose(id: string, count: number): void {
		for (let left = count; left > 0; left--) this.proposeOne(this.node(id))
	}

	/** Suspends the machine of a replica: it stands still, and so does its steady clock. */
	suspend(id: string, span: number): void {
		this.suspendNode(this.node(id), span)
	}

	private suspendNode(node: RunNode, span: number): boolean {
		node.pausedUntil = this.clock.now() + span
		node.suspended += span
		return true
	}

	/** Takes a replica down for a while; without a disk it forgets. */
	takeDown(id: string, span: number): void {
		this.down(this.node(id), span)
	}

	/** Takes a replica down and empties its disk. */
	takeDownAndWipe(id: string, span: number): void {
		const node = this.node(id)
		this.down(node, span)
		wipe(node)
	}

	/** Removes an instance for good, and adds an empty one under a new name after a while. */
	replace(id: string, name: string, span: number): void {
		this.nodes.delete(id)
		this.addNode(name, span)
	}

	/** Adds an instance with an empty disk after a while. */
	addNode(id: string, span: number): void {
		this.clock.after(span, () => {
			const node = new RunNode(
				{ id, durable: true, local: true },
				1,
				this.random.integer(0, 100_000)
			)
			this.nodes.set(id, node)
			this.boot(node)
		})
	}

	/** Hands a replica's leadership over. */
	handOver(id: string): boolean {
		return this.node(id).running.handOver()
	}

	/** Lets a replica stand still for a while. */
	pause(id: string, span: number): void {
		this.node(id).pausedUntil = this.clock.now() + span
	}

	/** Cuts one direction between two replicas for a while. */
	cut(from: string, to: string, span: number): void {
		this.network.block(span, (one, other) => one === from && other === to)
	}

	/** Heals everything and checks that all replicas come to the same state with nothing lost. */
	settle(): void {
		this.faults = false
		this.network.heal()
		for (const node of this.nodes.values()) {
			node.downUntil = Math.min(node.downUntil, this.clock.now())
			node.pausedUntil = Math.min(node.pausedUntil, this.clock.now())
		}
		this.steps(1500)
		this.proposing = false
		this.steps(500)
		const nodes = [...this.nodes.values()]
		const first = nodes[0]
		for (const node of nodes) {
			const { members, commit } = node.replica.status
			invariant(commit >= this.witness.committedCount, 'nothing committed is lost', {
				node: node.founder.id,
				commit,
				known: this.witness.committedCount,
				statuses: nodes.map((one) => one.replica.status),
			})
			invariant(
				node.state === first.state && node.running.applied === first.running.applied,
				'one state'
			)
			this.wholeness.checkMembers(members)
		}
		this.tally.committed = this.witness.committedCount
	}

	private step(): void {
		this.clock.advance(STEP)
		this.tally.steps += 1
		if (this.faults && this.random.chance(this.options.faultRate)) this.disturb()
		this.network.tick()
		for (const node of this.nodes.values()) this.run(node)
	}

	private run(node: RunNode): void {
		if (!this.awake(node)) return
		if (node.downUntil > 0) {
			node.downUntil = 0
			this.boot(node)
		}
		const held = node.held
		node.held = []
		for (const call of held) call()
		node.running.tick()
		if (this.proposing && node.replica.isLeader && this.random.chance(0.3)) this.proposeSome(node)
		this.checkLease(node)
		this.compact(node)
	}

	private proposeSome(node: RunNode): void {
		for (let count = this.random.integer(1, 3); count > 0; count--) this.proposeOne(node)
	}

	private proposeOne(node: RunNode): void {
		node.running.propose([Buffer.from(String(++this.proposals))])
	}

	private node(id: string): RunNode {
		const node = this.nodes.get(id)
		invariant(node !== undefined, 'a run knows its replicas', { id })
		return node
	}

	private apply(node: RunNode, entry: Entry): void {
		if (entry.kind !== EntryKind.ENTRY_KIND_COMMAND) return
		node.state = (node.state * 31 + Number(Buffer.from(entry.data).toString())) % 1_000_000_007
	}

	private restoreState(node: RunNode, snapshot: Snapshot): void {
		this.tally.snapshotsInstalled += 1
		node.state = Number(Buffer.from(snapshot.data).toString().trim())
	}

	private compact(node: RunNode): void {
		const from = node.replica.snapshot?.index ?? 0
		if (node.running.applied - from < COMPACT_EVERY) return
		// Padded to more than one piece, so that an installation can be interrupted.
		node.running.compact(Buffer.from(String(node.state).padEnd(200_000)))
	}

	private checkLease(node: RunNode): void {
		const local = node.localTime(this.clock.now())
		if (!node.replica.holdsLease(local)) return
		const life = `${node.founder.id}#${node.incarnation}`
		if (life + node.replica.status.term !== this.lastLeader) this.tally.elections += 1
		this.lastLeader = life + node.replica.status.term
		const trueEnd = this.clock.now() + (node.replica.leaseEnd(local) - local) / node.rate
		this.witness.onLease(life, this.clock.now(), trueEnd)
	}

	private deliver({ to, message }: Flight): void {
		const node = this.nodes.get(to)
		if (!node || node.downUntil > 0) return
		this.whenAwake(node, () => node.running.receive(message))
	}

	/** A paused process does what has come meanwhile once it goes on. */
	private whenAwake(node: RunNode, call: () => void): void {
		const waiting = node.held.length > 0
		if (waiting || node.pausedUntil > this.clock.now()) node.held.push(call)
		else call()
	}

	private disturb(): void {
		const { open, suspensions } = this.options
		const kinds = Object.values(Fault).filter(
			(kind) => (open || kind !== Fault.Replace) && (suspensions || kind !== Fault.Suspend)
		)
		const fault = this.random.pick(kinds)
		const node = this.random.pick([...this.nodes.values()])
		if (!this.inflict(fault, node)) return
		this.tally.faults[fault] += 1
	}

	private inflict(fault: Fault, node: RunNode): boolean {
		const span = this.random.integer(100, 4000)
		switch (fault) {
			case Fault.Restart:
				return this.mayTakeDown(node) && this.down(node, span)
			case Fault.Pause:
				node.pausedUntil = Math.max(node.pausedUntil, this.clock.now() + span)
				return true
			case Fault.Suspend:
				return this.awake(node) && this.suspendNode(node, span)
			case Fault.CutOff:
				this.network.block(span, (from, to) => from === node.founder.id || to === node.founder.id)
				return true
			case Fault.OneWay:
				this.network.block(span, (from) => from === node.founder.id)
				return true
			case Fault.LostDisk:
				return this.loseDisk(node, span)
			case Fault.HandOver:
				return node.downUntil === 0 && node.running.handOver()
			case Fault.Replace:
				return this.replaceAtRandom(node, span)
		}
	}

	private replaceAtRandom(node: RunNode, span: number): boolean {
		if (!this.wholeness.othersWhole(node) || !this.mayTakeDown(node)) return false
		this.replace(node.founder.id, `${node.founder.id.split('.')[0]}.${++this.lives}`, span)
		return true
	}

	/** An instance without a disk forgets; a second one that forgets at once would lose the group. */
	private mayTakeDown(node: RunNode): boolean {
		return node.downUntil === 0 && (node.founder.durable || this.wholeness.othersWhole(node))
	}

	private down(node: RunNode, span: number): boolean {
		node.downUntil = this.clock.now() + span
		node.held = []
		return true
	}

	private loseDisk(node: RunNode, span: number): boolean {
		if (!this.wholeness.othersWhole(node) || !this.mayTakeDown(node)) return false
		this.down(node, span)
		wipe(node)
		return true
	}

	private awake(node: RunNode): boolean {
		return node.downUntil <= this.clock.now() && node.pausedUntil <= this.clock.now()
	}

	private boot(node: RunNode): void {
		const { id, durable } = node.founder
		if (!durable || node.incarnation === '') node.incarnation = `life-${++this.lives}`
		node.state = 0
		const { founders, open } = this.options
		const self = this.nodes.get(id) === node && founders.some((one) => one.id === id)
		const applicant = {
			durable,
			dataCentre: id.split('.')[0],
			contacts: () => [...this.nodes.keys()],
		}
		const running: RunReplica = new RunReplica({
			options: {
				group: 'run',
				id,
				incarnation: node.incarnation,
				// An instance that comes later, or with an emptied disk, is told of no founding.
				founders: open && (node.wiped || !self) ? [] : founders,
				applicant: open ? applicant : undefined,
				random: new Random(this.random.integer(1, 1_000_000_000)),
				safetyChecker: this.witness,
			},
			disk: durable ? node.disk : undefined,
			now: () => node.localTime(this.clock.now()),
			ahead: () => node.suspended,
			saveTime: () => this.random.integer(0, SYNC_MOST),
			after: (span, call) => this.afterIn(node, running, span, call),
			send: (to, message) => this.network.send(node.founder.id, { to, message }),
			apply: (entry) => this.apply(node, entry),
			restore: (snapshot) => this.restoreState(node, snapshot),
		})
		node.running = running
	}

	/** A call of one life of a process: dropped when it has died, late when it was paused. */
	private afterIn(node: RunNode, life: RunReplica, span: number, call: () => void): void {
		this.clock.after(span, () => {
			if (node.running === life && node.downUntil === 0) this.whenAwake(node, call)
		})
	}
}
