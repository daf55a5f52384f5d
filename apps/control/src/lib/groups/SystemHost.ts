/** The system's group at work: configuration proposals and what belongs to all data centres. */
import {
	encodeSystemCommand,
	SystemState,
	type OperatorCall,
	type ReplyTo,
	type SystemCommand,
} from '@rillrudder/cell'
import type { Group } from '@rillrudder/group'
import type { Event } from '@rillrudder/protocol'
import {
	parseConfiguration,
	SYSTEM_GROUP,
	type GroupLayout,
	type KeptRevision,
} from '@rillrudder/settings'
import type { Log } from '@rillrudder/telemetry'
import { formatFinding, type Clock, type Random } from '@rillrudder/utils'
import { openGroup } from './openGroup'

/** What a host works with. @internal */
export interface SystemHostParts {
	readonly self: string
	readonly layout: GroupLayout
	readonly data?: string
	readonly clock: Clock
	readonly random: Random
	readonly log: Log
	readonly send: (to: string, event: Event) => boolean
	readonly fail: (fault: Error) => void
	/** Told of the configuration in force whenever a command was applied. */
	readonly accepted: (revision: KeptRevision) => void
}

/**
 * The system's group in this process.
 *
 * @internal
 */
export class SystemHost {
	private readonly state: SystemState
	private readonly replies = new Map<string, ReplyTo[]>()
	private group!: Group
	private led = false

	constructor(private readonly parts: SystemHostParts) {
		this.state = new SystemState((command) => this.answer(command.request))
	}

	/** The group, once started. */
	get replicaGroup(): Group {
		return this.group
	}

	/** Whether a leader has been heard since the start, so that what is committed is known. */
	get isCurrent(): boolean {
		const { leader, role } = this.group.replica.status
		return role === 'leader' ? this.group.mayAct : leader !== ''
	}

	/** Who leads, as far as is known here. */
	get leader(): string {
		return this.group.replica.status.leader
	}

	/** What the log says. */
	get book(): SystemState {
		return this.state
	}

	async start(): Promise<void> {
		const { self, layout, data, clock, random, log, fail, send } = this.parts
		this.group = await openGroup({
			self,
			layout,
			data,
			machine: this.state,
			clock,
			random,
			log,
			fail,
			send: (to, message) => void send(to, { body: { $case: 'group', value: message } }),
			settled: () => this.settle(),
		})
	}

	receive(event: Event): void {
		if (event.body?.$case === 'group') this.group.receive(event.body.value)
	}

	/** Takes an operator's call, or says who leads. */
	call(call: OperatorCall, reply: ReplyTo): void {
		if (!this.group.mayAct) {
			reply({ code: 421, message: this.leader === this.parts.self ? '' : this.leader })
			return
		}
		if (this.state.answers.find(call.request)) {
			this.say(call.request, reply)
			return
		}
		const { operator, request } = call
		const at = this.parts.clock.date().getTime()
		switch (call.kind) {
			case 'propose':
				return this.propose(call, at, reply)
			case 'declare-down':
			case 'declare-up': {
				const { kind, dataCentre } = call
				return this.commit({ kind, operator, request, at, dataCentre }, reply)
			}
			case 'audit':
				return reply({ code: 200, message: '', content: this.state.audit.select(call) })
			default:
				return reply({ code: 400, message: 'this is for a data centre' })
		}
	}

	handOver(): void {
		this.group.handOver()
	}

	async stop(): Promise<void> {
		await this.group.stop()
	}

	private propose(
		call: Extract<OperatorCall, { kind: 'propose' }>,
		at: number,
		reply: ReplyTo
	): void {
		const read = parseConfiguration('configuration', call.document)
		if (!read.ok) {
			const content = { findings: read.error }
			reply({ code: 422, message: read.error.map(formatFinding).join('\n'), content })
			return
		}
		const { operator, request, replaces, document } = call
		this.commit({ kind: 'propose', operator, request, at, replaces, document }, reply)
	}

	private commit(command: SystemCommand, reply: ReplyTo): void {
		const waiting = this.replies.get(command.request)
		if (waiting) {
			waiting.push(reply)
			return
		}
		this.replies.set(command.request, [reply])
		this.group.propose([encodeSystemCommand(command)])
	}

	private answer(request: string): void {
		const waiting = this.replies.get(request) ?? []
		this.replies.delete(request)
		for (const reply of waiting) this.say(request, reply)
	}

	/** A refused proposal is answered with what is in force instead. */
	private say(request: string, reply: ReplyTo): void {
		const answer = this.state.answers.find(request)
		if (!answer) return
		const content = answer.accepted ? answer : { ...answer, current: this.state.current }
		reply({ code: answer.accepted ? 200 : 409, message: answer.message, content })
	}

	private settle(): void {
		if (!this.group) return
		const { leads, status } = this.group.replica
		if (leads !== this.led) {
			this.led = leads
			const event = leads ? 'leadership-gained' : 'leadership-lost'
			this.parts.log.info(event, { group: SYSTEM_GROUP, term: status.term })
			if (!leads) this.turnAway()
		}
		this.parts.accepted(this.state.current)
	}

	/** Those who wait ask again, and get the answer that was kept if there is one. */
	private turnAway(): void {
		for (const waiting of this.replies.values()) {
			for (const reply of waiting) reply({ code: 503, message: 'leadership has moved; ask again' })
		}
		this.replies.clear()
	}
}
