/**
 * Spreads questions over the instances that can ask them. The service answers one call at a time from
 * each instance, and some queues' answers take twenty times as long as others': those may not take every
 * instance at once.
 */
import type { AdviceClaim } from '../../shares/AdviceShares'
import type { LeaderShares } from '../../shares/LeaderShares'
import type { LeaderContext } from '../LeaderContext'
import type { AdviceQuestion, AdviceResult } from '../ports'
import { chooseAdviser } from './chooseAdviser'

/** Milliseconds from which an answer counts as a long one. */
const LONG = 150
/** Instances that are kept free of long answers, at least: the short ones of today's queues fill one. */
const LEAST_KEPT_FREE = 2
/** The same for each instance that short answers have filled of late, so that few of them wait. */
const KEPT_FREE_PER_BUSY = 2
/**
 * Share of the instances that may be asked for long answers which each priority keeps while questions of it wait. Without it, a priority whose
 * questions fill all instances has those below it wait for as long as that lasts.
 */
const FLOOR_SHARE = 0.25
/** Milliseconds over which the load of short answers is averaged. */
const LOAD_SPAN = 1000
/** Times the expected span, plus `PATIENCE`, after which an answer is given up. */
const PATIENCE_FACTOR = 1.5
/** Milliseconds; the service may be busy with a call of an earlier leader. */
const PATIENCE = 600
/**
 * Times the expected span, plus `COPY_AFTER`, after which a question that has no answer is asked through a second
 * instance too: the first one may be cut off, and a caller waits meanwhile.
 */
const COPY_FACTOR = 2
/** Milliseconds; twice the way there and back between data centres, and a late timer. */
const COPY_AFTER = 60
/** Milliseconds for which an instance that brought no answer is asked last. */
const REST = 3000

/** A question with what it costs and how much it matters. @internal */
export interface RankedQuestion extends AdviceQuestion {
	/** Milliseconds that the answer is expected to take. */
	readonly cost: number
	/** Lower goes first. */
	readonly rank: number
	/** Of the step's queue. */
	readonly priority: number
	/** Whose account's time it takes, where accounts have shares of it; absent for nobody's. */
	readonly claim?: AdviceClaim
	readonly done: (result: AdviceResult) => void
}

/** A question that is being answered, through one instance or two. */
interface Attempt {
	readonly question: RankedQuestion
	/** How many instances may still bring the answer. */
	pendingCount: number
	isAnswered: boolean
	/** When it is asked through a second instance. */
	duplicateAt: number
}

/** What an instance is asked. */
interface PendingCall {
	readonly attempt: Attempt
	readonly timeoutAt: number
}

/**
 * Questions that wait or are being answered.
 *
 * @internal
 */
export class AdviceDispatcher {
	private waiting: RankedQuestion[] = []
	private readonly pendingCalls = new Map<string, PendingCall>()
	private isDispatching = false
	/** How many instances short answers have filled of late, and as of when. */
	private shortLoad = 0
	private shortLoadAt = 0
	/** Until when instances that brought no answer are asked last. */
	private readonly cooldowns = new Map<string, number>()

	constructor(
		private readonly context: LeaderContext,
		private readonly shares?: LeaderShares
	) {}

	/** Asks as soon as an instance is free. */
	ask(question: RankedQuestion): void {
		if (question.cost < LONG) this.recordShort(question.cost)
		this.waiting.push(question)
		this.dispatch()
	}

	/** Gives up answers that will not come, asks again what has none, and asks what waits. */
	tick(now: number): void {
		for (const [via, asked] of this.pendingCalls) {
			if (now < asked.timeoutAt) continue
			this.release(via, asked, now)
			this.settle(asked.attempt, { kind: 'unknown', message: `no answer through ${via}` })
		}
		this.dispatch()
		this.askDuplicates(now)
	}

	/** Asks through a second instance, where one is free, what should have been answered by now. */
	private askDuplicates(now: number): void {
		for (const { attempt } of [...this.pendingCalls.values()]) {
			if (attempt.isAnswered || now < attempt.duplicateAt) continue
			const free = this.freeInstances()
			const kept = attempt.question.cost >= LONG ? this.reservedInstanceCount() : 0
			if (free.length <= kept) continue
			attempt.duplicateAt = Number.POSITIVE_INFINITY
			this.send(this.bestOf(free), attempt)
		}
	}

	/** Sends what can be sent. An instance that is lost may answer at once, which begins a further round. */
	private dispatch(): void {
		if (this.isDispatching) return
		this.isDispatching = true
		while (this.dispatchNext()) continue
		this.isDispatching = false
	}

	/** @returns whether a question was sent. */
	private dispatchNext(): boolean {
		if (this.waiting.length === 0) return false
		const free = this.freeInstances()
		if (free.length === 0) return false
		const asked = [...this.pendingCalls.values()]
		const long = asked.filter(({ attempt }) => attempt.question.cost >= LONG).length
		const longMost = Math.max(1, free.length + asked.length - this.reservedInstanceCount())
		const next = long < longMost ? this.takeNext(longMost) : this.takeShort()
		if (!next) return false
		const duplicateAt = this.context.clock.now() + next.cost * COPY_FACTOR + COPY_AFTER
		this.send(this.bestOf(free), {
			question: next,
			pendingCount: 0,
			isAnswered: false,
			duplicateAt,
		})
		return true
	}

	private freeInstances(): string[] {
		return this.context.advisers.available().filter((via) => !this.pendingCalls.has(via))
	}

	private recordShort(cost: number): void {
		this.shortLoad = this.decayedLoad() + cost / LOAD_SPAN
		this.shortLoadAt = this.context.clock.now()
	}

	private decayedLoad(): number {
		const passed = this.context.clock.now() - this.shortLoadAt
		return this.shortLoad * Math.exp(-passed / LOAD_SPAN)
	}

	private reservedInstanceCount(): number {
		return Math.max(LEAST_KEPT_FREE, Math.ceil(this.decayedLoad() * KEPT_FREE_PER_BUSY))
	}

	/**
	 * Takes the question that matters most; of long ones first those of priorities that have less than their floor.
	 *
	 * @param longMost - how many instances may be asked for long answers at a time.
	 */
	private takeNext(longMost: number): RankedQuestion | undefined {
		const floor = Math.floor(longMost * FLOOR_SHARE)
		const held = this.longByPriority()
		const isBelow = ({ cost, priority }: RankedQuestion): boolean =>
			cost >= LONG && (held.get(priority) ?? 0) < floor
		return this.take(this.bestWaiting(isBelow) ?? this.bestWaiting(() => true))
	}

	/** Takes the short question that matters most. */
	private takeShort(): RankedQuestion | undefined {
		return this.take(this.bestWaiting(({ cost }) => cost < LONG))
	}

	private take(question: RankedQuestion | undefined): RankedQuestion | undefined {
		if (question) this.waiting.splice(this.waiting.indexOf(question), 1)
		return question
	}

	private bestWaiting(counts: (question: RankedQuestion) => boolean): RankedQuestion | undefined {
		let best: RankedQuestion | undefined
		for (const question of this.waiting) {
			if (!counts(question)) continue
			if (!best || this.compare(question, best) < 0) best = question
		}
		return best
	}

	/** How many instances are asked for long answers, by the priority of the question. */
	private longByPriority(): ReadonlyMap<number, number> {
		const counts = new Map<number, number>()
		for (const { attempt } of this.pendingCalls.values()) {
			const { cost, priority } = attempt.question
			if (cost >= LONG) counts.set(priority, (counts.get(priority) ?? 0) + 1)
		}
		return counts
	}

	private bestOf(free: readonly string[]): string {
		const { advisers } = this.context
		return chooseAdviser(free, (via) => ({
			cooldownUntil: this.cooldownUntil(via),
			...advisers.standing(via),
		}))
	}

	/** Below 0 when the first question goes before the second. */
	private compare(left: RankedQuestion, right: RankedQuestion): number {
		const byShare = this.shares?.inForce && left.claim && right.claim
		const share = byShare ? this.shares.advice.compare(left.claim, right.claim) : 0
		return share || left.rank - right.rank
	}

	private send(via: string, attempt: Attempt): void {
		const now = this.context.clock.now()
		const { step, workers, cost } = attempt.question
		const asked = { attempt, timeoutAt: now + cost * PATIENCE_FACTOR + PATIENCE }
		this.pendingCalls.set(via, asked)
		attempt.pendingCount += 1
		const { claim } = attempt.question
		if (claim && this.shares?.inForce) this.shares.advice.charge(claim, cost, now)
		this.context.advisers.ask(via, { step, workers }, (result) => {
			if (this.pendingCalls.get(via) !== asked) return
			this.release(via, asked, result.kind === 'answered' ? undefined : now)
			this.settle(attempt, result)
			this.dispatch()
		})
	}

	/** An instance is free again; one that brought no answer, as of a moment, rests. */
	private release(via: string, asked: PendingCall, failedAt: number | undefined): void {
		this.pendingCalls.delete(via)
		asked.attempt.pendingCount -= 1
		if (failedAt !== undefined) this.cooldowns.set(via, failedAt + REST)
	}

	/** The first answer counts; without any, the last failure. */
	private settle(attempt: Attempt, result: AdviceResult): void {
		if (attempt.isAnswered) return
		if (result.kind !== 'answered' && attempt.pendingCount > 0) return
		attempt.isAnswered = true
		attempt.question.done(result)
	}

	private cooldownUntil(via: string): number {
		const until = this.cooldowns.get(via) ?? 0
		return until > this.context.clock.now() ? until : 0
	}
}
