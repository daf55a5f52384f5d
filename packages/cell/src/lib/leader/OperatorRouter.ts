/** Routes a call from any instance to the leader of the group that it addresses. */
import { Buffer } from 'node:buffer'
import type {
	Event,
	OperatorCall as CallEvent,
	OperatorReply as ReplyEvent,
} from '@rillrudder/protocol'
import type { GroupLayout } from '@rillrudder/settings'
import type { Clock } from '@rillrudder/utils'
import { operatorCallSchema, type OperatorCall, type OperatorReply } from './operatorCalls'
import type { ReplyCallback } from './OperatorController'

const TRY_TIMEOUT_MS = 1500
const MAX_TRIES = 6
const RETRY_DELAY_MS = 200
/** HTTP status with which a replica that does not lead refuses a call. */
const NOT_THE_LEADER = 421
const UNAVAILABLE = 503

/** The dependencies of a router. @public */
export interface OperatorRouterParts {
	readonly self: string
	readonly clock: Clock
	readonly groups: readonly GroupLayout[]
	/** @returns an id for a call that this process has not used before. */
	readonly newCallId: () => string
	readonly send: (to: string, event: Event) => boolean
	/** Handles a call for a group with a replica in this process. @returns false if it has none. */
	readonly callHere: (group: string, call: OperatorCall, reply: ReplyCallback) => boolean
}

/** A call with the state of the search for its group's leader. */
interface LeaderSearch {
	readonly group: string
	readonly call: OperatorCall
	readonly voters: readonly string[]
	readonly reply: ReplyCallback
	target: string
	tries: number
}

/**
 * Routes calls to leaders.
 *
 * @public
 */
export class OperatorRouter {
	private readonly waiting = new Map<string, (reply: OperatorReply) => void>()
	private readonly leaders = new Map<string, string>()

	/** @param parts - identity and dependencies. */
	constructor(private readonly parts: OperatorRouterParts) {}

	/**
	 * Makes a call, trying the group's replicas until one that leads answers.
	 *
	 * @param group - the group.
	 * @param call - the call.
	 * @param reply - called once. Code 503 means that no leader could be reached; the call may still have
	 * taken effect, which a repetition with the same request id reveals.
	 */
	call(group: string, call: OperatorCall, reply: ReplyCallback): void {
		const layout = this.parts.groups.find((one) => one.name === group)
		if (!layout) {
			reply({ code: 404, message: `there is no group ${group}` })
			return
		}
		const voters = layout.voters.map((voter) => voter.id)
		const target = this.leaders.get(group) ?? this.initialTarget(voters)
		this.tryNext({ group, call, voters, reply, target, tries: 0 })
	}

	/** Handles a call that another instance forwards. */
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

	/** Handles the reply to a forwarded call. */
	receiveReply(event: ReplyEvent): void {
		this.waiting.get(event.id)?.(JSON.parse(event.reply.toString()) as OperatorReply)
	}

	private tryNext(search: LeaderSearch): void {
		if (search.tries === MAX_TRIES) {
			this.leaders.delete(search.group)
			const message = `no leader of ${search.group} could be reached; ask again to learn whether it was done`
			search.reply({ code: UNAVAILABLE, message })
			return
		}
		search.tries += 1
		this.send(search, (reply) => this.onTryEnded(search, reply))
	}

	private onTryEnded(search: LeaderSearch, reply: OperatorReply | undefined): void {
		const { group, target, voters } = search
		if (reply && reply.code !== NOT_THE_LEADER && reply.code !== UNAVAILABLE) {
			this.leaders.set(group, target)
			search.reply(reply)
			return
		}
		const hint = reply?.code === NOT_THE_LEADER ? reply.message : ''
		const hinted = hint !== '' && hint !== target
		search.target = hinted ? hint : voters[(voters.indexOf(target) + 1) % voters.length]
		this.parts.clock.after(hinted ? 0 : RETRY_DELAY_MS, () => this.tryNext(search))
	}

	private send(search: LeaderSearch, onEnd: (reply: OperatorReply | undefined) => void): void {
		const { target, group, call } = search
		const id = this.parts.newCallId()
		let done = false
		const finish = (reply: OperatorReply | undefined): void => {
			if (done) return
			done = true
			timer.cancel()
			this.waiting.delete(id)
			onEnd(reply)
		}
		const timer = this.parts.clock.after(TRY_TIMEOUT_MS, () => finish(undefined))
		if (target === this.parts.self) {
			if (!this.parts.callHere(group, call, finish)) finish(undefined)
			return
		}
		this.waiting.set(id, finish)
		const value = { id, group, request: Buffer.from(JSON.stringify(call)) }
		if (!this.parts.send(target, { body: { $case: 'operatorCall', value } })) finish(undefined)
	}

	private initialTarget(voters: string[]): string {
		return voters.includes(this.parts.self) ? this.parts.self : voters[0]
	}
}
