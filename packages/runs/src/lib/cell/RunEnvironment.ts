/** What is around the drivers of a run's control process: its replicas, its disk, its workers and links. */
import {
	GroupAccess,
	RevisionStore,
	Environment,
	type LeaderDriver,
	type GroupCall,
	type SettleCall,
	type WorkerExchange,
} from '@rillrudder/cell'
import type { Event } from '@rillrudder/protocol'
import type { KeptRevision } from '@rillrudder/settings'
import type { RunReplica } from '../RunReplica'
import type { ControlDisk, RunControl } from './RunControl'

/** A replica, as drivers see it. @internal */
export class RunAccess extends GroupAccess {
	constructor(
		private readonly running: () => RunReplica,
		private readonly fenced: () => boolean
	) {
		super()
	}

	override get leads(): boolean {
		return this.running().replica.isLeader
	}

	override get mayAct(): boolean {
		return this.running().mayAct && !this.fenced()
	}

	override get leader(): string {
		return this.running().replica.status.leader
	}

	override get term(): number {
		return this.running().replica.status.term
	}

	override propose(commands: readonly Uint8Array[]): void {
		this.running().propose(commands)
	}
}

/** Keeps revisions on the simulated disk. @internal */
export class RunKeeper extends RevisionStore {
	constructor(
		private readonly disk: ControlDisk,
		private readonly after: (span: number, call: () => void) => void,
		private readonly saveTime: () => number
	) {
		super()
	}

	override save(revision: KeptRevision, done: () => void): void {
		this.after(this.saveTime(), () => {
			this.disk.revision = revision
			done()
		})
	}
}

/** The surroundings of one data centre's driver. @internal */
export class RunEnvironment extends Environment {
	driver!: LeaderDriver

	constructor(private readonly control: RunControl) {
		super()
	}

	override now(): number {
		return this.control.clock.now()
	}

	override at(): number {
		return this.control.clock.date().getTime()
	}

	override send(to: string, event: Event): void {
		this.control.send(to, event)
	}

	override exchange(exchange: WorkerExchange): void {
		const { workers, process } = this.control.parts
		workers.exchange(process, exchange, (reply) => {
			this.driver.onExchangeReply(exchange.worker, reply)
			this.driver.carryOut()
		})
	}

	override settle(call: SettleCall): void {
		const { workers, process } = this.control.parts
		workers.settle(process, call, (reply) => {
			this.driver.onSettleReply(call, reply)
			this.driver.carryOut()
		})
	}

	override callGroup(call: GroupCall): void {
		this.control.call(call.group, call.call, (reply) => {
			this.driver.onClaimReply(call, reply)
			this.driver.carryOut()
		})
	}

	override onLeadershipChanged(): void {
		// Nothing to log in a run.
	}
}
