/** Brings an operator's call to the instance that leads the group it is for, wherever it was made. */
import { randomUUID } from 'node:crypto'
import { operatorCallSchema, type OperatorCall, type OperatorReply } from '@rillrudder/cell'
import type {
	Event,
	OperatorCall as CallEvent,
	OperatorReply as ReplyEvent,
} from '@rillrudder/protocol'
import type { GroupLayout } from '@rillrudder/settings'
import type { Clock } from '@rillrudder/utils'

const TRY_FOR = 1500
const TRIES = 6
const BETWEEN_TRIES = 200
/** The HTTP status of a replica that does not lead. */
const NOT_THE_LEADER = 421

/** What a router works with. @internal */
export interface OperatorRouterParts {
	readonly self: string
	readonly clock: Clock
	readonly groups: readonly GroupLayout[]
	readonly send: (to: string, event: Event) => boolean
	/** Answers a call for a group that has a replica here. */
	readonly callHere: (
		group: string,
		call: OperatorCall,
		reply: (reply: OperatorReply) => void
	) => boolean
}

/**
 * Routes operators' calls.
 *
 * @internal
 */
export class OperatorRouter {
	private readonly waiting = new Map<string, (reply: OperatorReply) => void>()
	private readonly leaders = new Map<string, string>()

	constructor(private readonly parts: OperatorRouterParts) {}

	/**
	 * Makes a call, trying the group's replicas until one that leads answers.
	 *
	 * @returns the reply; code 503 when nobody who leads could be reached. It may have been done then,
	 * and the same request again tells.
	 */
	async call(group: string, call: OperatorCall): Promise<OperatorReply> {
		const layout = this.parts.groups.find((one) => one.name === group)
		if (!layout) return { code: 404, message: `there is no group ${group}` }
		const voters = layout.voters.map((voter) => voter.id)
		let target = this.leaders.get(group) ?? this.preferred(voters)
		for (let attempt = 0; attempt < TRIES; attempt++) {
			const reply = await this.ask(target, group, call)
			if (reply && reply.code !== NOT_THE_LEADER && reply.code !== 503) {
				this.leaders.set(group, target)
				return reply
			}
			const hint = reply?.code === NOT_THE_LEADER ? reply.message : ''
			target = hint !== '' && hint !== target ? hint : after(voters, target)
			await this.pause(hint === '' ? BETWEEN_TRIES : 0)
		}
		this.leaders.delete(group)
		const message = `no leader of ${group} could be reached; the same request again tells whether it was done`
		return { code: 503, message }
	}

	/** Takes a call that another instance passes on. */
	receiveCall(from: string, event: CallEvent): void {
		const parsed = operatorCallSchema.safeParse(JSON.parse(event.request.toString()))
		const answer = (reply: OperatorReply): void => {
			const value = { id: event.id, reply: Buffer.from(JSON.stringify(reply)) }
			this.parts.send(from, { body: { $case: 'operatorReply', value } })
		}
		if (!parsed.success) answer({ code: 400, message: 'the call is not as it should be' })
		else if (!this.parts.callHere(event.group, parsed.data, answer)) {
			answer({ code: NOT_THE_LEADER, message: '' })
		}
	}

	/** Takes a reply to a call that was passed on. */
	receiveReply(event: ReplyEvent): void {
		this.waiting.get(event.id)?.(JSON.parse(event.reply.toString()) as OperatorReply)
	}

	private ask(
		target: string,
		group: string,
		call: OperatorCall
	): Promise<OperatorReply | undefined> {
		return new Promise((resolve) => {
			const id = randomUUID()
			const timer = this.parts.clock.after(TRY_FOR, () => finish(undefined))
			const finish = (reply: OperatorReply | undefined): void => {
				timer.cancel()
				this.waiting.delete(id)
				resolve(reply)
			}
			if (target === this.parts.self) {
				if (!this.parts.callHere(group, call, finish)) finish(undefined)
				return
			}
			this.waiting.set(id, finish)
			const value = { id, group, request: Buffer.from(JSON.stringify(call)) }
			if (!this.parts.send(target, { body: { $case: 'operatorCall', value } })) finish(undefined)
		})
	}

	private preferred(voters: string[]): string {
		return voters.includes(this.parts.self) ? this.parts.self : voters[0]
	}

	private pause(span: number): Promise<void> {
		return new Promise((resolve) => this.parts.clock.after(span, () => resolve()))
	}
}

function after(voters: string[], target: string): string {
	return voters[(voters.indexOf(target) + 1) % voters.length]
}
