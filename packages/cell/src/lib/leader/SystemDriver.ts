/** Connects the system's state to its group: configuration proposals and system-wide declarations. */
import { parseConfiguration, type KeptRevision } from '@rillrudder/settings'
import { formatFinding } from '@rillrudder/utils'
import { encodeSystemCommand, type SystemCommand } from '../commands/SystemCommand'
import { SystemState } from '../state/SystemState'
import type { GroupAccess } from './LeaderDriver'
import type { OperatorCall } from './operatorCalls'
import type { ReplyCallback } from './OperatorController'

const NOT_THE_LEADER = 421

/** The dependencies of a driver. @public */
export interface SystemDriverParts {
	readonly self: string
	/** Milliseconds since the epoch. */
	readonly at: () => number
	/** Called with the configuration in force after each step of the group. */
	readonly onConfiguration: (revision: KeptRevision) => void
	/** Called when leadership is gained or lost. */
	readonly onLeadershipChanged: (gained: boolean) => void
}

/**
 * The driver of the system's group in one process.
 *
 * @public
 */
export class SystemDriver {
	readonly state: SystemState
	private readonly replies = new Map<string, ReplyCallback[]>()
	private group: GroupAccess | undefined
	private wasLeader = false

	/** @param parts - identity and dependencies. */
	constructor(private readonly parts: SystemDriverParts) {
		this.state = new SystemState((command) => this.answerWaiting(command.request))
	}

	/** Sets the group, once it is open. */
	join(group: GroupAccess): void {
		this.group = group
	}

	/** Whether a leader is known, so that this instance's state is up to date. */
	get isCurrent(): boolean {
		if (!this.group) return false
		return this.group.leads ? this.group.mayAct : this.group.leader !== ''
	}

	/** Handles an operator's call, or refuses it with the leader's id as the message. */
	onOperatorCall(call: OperatorCall, reply: ReplyCallback): void {
		if (!this.group?.mayAct) {
			const leader = this.group?.leader ?? ''
			reply({ code: NOT_THE_LEADER, message: leader === this.parts.self ? '' : leader })
			return
		}
		if (this.state.answers.find(call.request)) {
			this.sendAnswer(call.request, reply)
			return
		}
		const { operator, request } = call
		const at = this.parts.at()
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

	/** Called after each step of the group: follows leadership and reports the configuration. */
	followGroup(): void {
		if (!this.group) return
		const { leads } = this.group
		if (leads !== this.wasLeader) {
			this.wasLeader = leads
			this.parts.onLeadershipChanged(leads)
			if (!leads) this.rejectWaiting()
		}
		this.parts.onConfiguration(this.state.current)
	}

	private propose(
		call: Extract<OperatorCall, { kind: 'propose' }>,
		at: number,
		reply: ReplyCallback
	): void {
		const parsed = parseConfiguration('configuration', call.document)
		if (!parsed.ok) {
			const content = { findings: parsed.error }
			reply({ code: 422, message: parsed.error.map(formatFinding).join('\n'), content })
			return
		}
		const { operator, request, replaces, document } = call
		this.commit({ kind: 'propose', operator, request, at, replaces, document }, reply)
	}

	private commit(command: SystemCommand, reply: ReplyCallback): void {
		const waiting = this.replies.get(command.request)
		if (waiting) {
			waiting.push(reply)
			return
		}
		this.replies.set(command.request, [reply])
		this.group?.propose([encodeSystemCommand(command)])
	}

	private answerWaiting(request: string): void {
		const waiting = this.replies.get(request) ?? []
		this.replies.delete(request)
		for (const reply of waiting) this.sendAnswer(request, reply)
	}

	/** Sends the stored answer; a refusal carries the configuration in force. */
	private sendAnswer(request: string, reply: ReplyCallback): void {
		const answer = this.state.answers.find(request)
		if (!answer) return
		const content = answer.accepted ? answer : { ...answer, current: this.state.current }
		reply({ code: answer.accepted ? 200 : 409, message: answer.message, content })
	}

	/** Rejects waiting calls. Operators call again and get the stored answer if there is one. */
	private rejectWaiting(): void {
		for (const waiting of this.replies.values()) {
			for (const reply of waiting) reply({ code: 503, message: 'leadership has moved; ask again' })
		}
		this.replies.clear()
	}
}
