/**
 * Distributes advice questions over the instances that can ask them. The service answers one call
 * at a time from each instance, and the answers for some queues take twenty times as long as
 * others. Long questions must not occupy all instances at once.
 */
import type { AdviceClaim } from '../../shares/AdviceShares'
import type { LeaderShares } from '../../shares/LeaderShares'
import type { LeaderContext } from '../LeaderContext'
import type { AdviceQuestion, AdviceResult } from '../ports'
import { chooseAdviser } from './chooseAdviser'

/** Expected duration in milliseconds from which an answer counts as long. */
const LONG_ANSWER_MS = 150
/** Minimum number of instances reserved for short answers, which usually fill one instance. */
const MIN_RESERVED_INSTANCES = 2
/** Instances reserved for each one that short answers recently filled, so that few of them wait. */
const RESERVED_PER_BUSY_INSTANCE = 2
/**
 * Share of the instances open to long answers that each priority is guaranteed while it has waiting
 * questions. Without it, a priority whose questions fill all instances starves the lower ones.
 */
const MIN_PRIORITY_SHARE = 0.25
/** Milliseconds over which the load of short answers is averaged. */
const LOAD_SPAN_MS = 1000
/** Multiple of the expected duration, plus `TIMEOUT_MARGIN_MS`, after which a call times out. */
const TIMEOUT_FACTOR = 1.5
/**
 * Milliseconds added to the timeout, since the service may be busy with a call of an earlier
 * leader.
 */
const TIMEOUT_MARGIN_MS = 600
/**
 * Multiple of the expected duration, plus `DUPLICATE_MARGIN_MS`, after which an unanswered question
 * is also asked through a second instance: the first one may be cut off while a client waits.
 */
const DUPLICATE_FACTOR = 2
/** Milliseconds that cover two round trips between data centres and a late timer. */
const DUPLICATE_MARGIN_MS = 60
/** Milliseconds during which an instance that returned no answer is used last. */
const COOLDOWN_MS = 3000

/** A question with its cost and its rank. @internal */
export interface RankedQuestion extends AdviceQuestion {
	/** Expected duration of the answer in milliseconds. */
	readonly cost: number
	/** Rank of the question; lower ranks go first. */
	readonly rank: number
	/** Priority of the step's queue. */
	readonly priority: number
	/** The account charged where accounts have shares of advice time; undefined for none. */
	readonly claim?: AdviceClaim
	/** Called once with the result. */
	readonly done: (result: AdviceResult) => void
}

/** A question that was sent through one instance or two. */
interface Attempt {
	readonly question: RankedQuestion
	/** Number of calls that may still return an answer. */
	pendingCount: number
	isAnswered: boolean
	/** When the question is also asked through a second instance, on the leader's clock. */
	duplicateAt: number
}

/** A call that is pending at an instance. */
interface PendingCall {
	readonly attempt: Attempt
	readonly timeoutAt: number
}

/**
 * Queues questions and sends them through free instances.
 *
 * @internal
 */
export class AdviceDispatcher {
	private waiting: RankedQuestion[] = []
	private readonly pendingCalls = new Map<string, PendingCall>()
	private isDispatching = false
	/** Number of instances that short answers recently kept busy, and when it was computed. */
	private shortLoad = 0
	private shortLoadAt = 0
	/** Until when instances that returned no answer are used last, by id. */
	private readonly cooldowns = new Map<string, number>()

	constructor(
		private readonly context: LeaderContext,
		private readonly shares?: LeaderShares
	) {}

	/** Asks a question as soon as an instance is free. */
	ask(question: RankedQuestion): void {
		if (question.cost < LONG_ANSWER_MS) this.recordShort(question.cost)
		this.waiting.push(question)
		this.dispatch()
	}

	/**
	 * Times out calls, sends waiting questions, and repeats overdue ones through a second instance.
	 */
	tick(now: number): void {
		for (const [via, call] of this.pendingCalls) {
			if (now < call.timeoutAt) continue
			this.release(via, call, now)
			this.settle(call.attempt, { kind: 'unknown', message: `no answer through ${via}` })
		}
		this.dispatch()
		this.askDuplicates(now)
	}

	/** Asks overdue questions through a second instance where one is free. */
	private askDuplicates(now: number): void {
		for (const { attempt } of [...this.pendingCalls.values()]) {
			if (attempt.isAnswered || now < attempt.duplicateAt) continue
			const free = this.freeInstances()
			const kept = attempt.question.cost >= LONG_ANSWER_MS ? this.reservedInstanceCount() : 0
			if (free.length <= kept) continue
			attempt.duplicateAt = Number.POSITIVE_INFINITY
			this.send(this.bestOf(free), attempt)
		}
	}

	/**
	 * Sends as many questions as possible. A lost instance may fail its call synchronously, and the
	 * callback dispatches again; the flag prevents recursion.
	 */
	private dispatch(): void {
		if (this.isDispatching) return
		this.isDispatching = true
		while (this.dispatchNext()) continue
		this.isDispatching = false
	}

	/** Sends the next question. @returns whether one was sent. */
	private dispatchNext(): boolean {
		if (this.waiting.length === 0) return false
		const free = this.freeInstances()
		if (free.length === 0) return false
		const calls = [...this.pendingCalls.values()]
		const long = calls.filter(({ attempt }) => attempt.question.cost >= LONG_ANSWER_MS).length
		const maxLong = Math.max(1, free.length + calls.length - this.reservedInstanceCount())
		const next = long < maxLong ? this.takeNext(maxLong) : this.takeShort()
		if (!next) return false
		const duplicateAt =
			this.context.clock.now() + next.cost * DUPLICATE_FACTOR + DUPLICATE_MARGIN_MS
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
		this.shortLoad = this.decayedLoad() + cost / LOAD_SPAN_MS
		this.shortLoadAt = this.context.clock.now()
	}

	private decayedLoad(): number {
		const passed = this.context.clock.now() - this.shortLoadAt
		return this.shortLoad * Math.exp(-passed / LOAD_SPAN_MS)
	}

	private reservedInstanceCount(): number {
		return Math.max(
			MIN_RESERVED_INSTANCES,
			Math.ceil(this.decayedLoad() * RESERVED_PER_BUSY_INSTANCE)
		)
	}

	/**
	 * Removes the next question from the queue. Long questions of priorities below their guaranteed
	 * share go first.
	 *
	 * @param maxLong - the maximum number of concurrent calls for long answers.
	 */
	private takeNext(maxLong: number): RankedQuestion | undefined {
		const minimum = Math.floor(maxLong * MIN_PRIORITY_SHARE)
		const held = this.longByPriority()
		const isBelow = ({ cost, priority }: RankedQuestion): boolean =>
			cost >= LONG_ANSWER_MS && (held.get(priority) ?? 0) < minimum
		return this.take(this.bestWaiting(isBelow) ?? this.bestWaiting(() => true))
	}

	/** Removes the next short question from the queue. */
	private takeShort(): RankedQuestion | undefined {
		return this.take(this.bestWaiting(({ cost }) => cost < LONG_ANSWER_MS))
	}

	private take(question: RankedQuestion | undefined): RankedQuestion | undefined {
		if (question) this.waiting.splice(this.waiting.indexOf(question), 1)
		return question
	}

	private bestWaiting(matches: (question: RankedQuestion) => boolean): RankedQuestion | undefined {
		let best: RankedQuestion | undefined
		for (const question of this.waiting) {
			if (!matches(question)) continue
			if (!best || this.compare(question, best) < 0) best = question
		}
		return best
	}

	/** @returns the number of pending calls for long answers by priority. */
	private longByPriority(): ReadonlyMap<number, number> {
		const counts = new Map<number, number>()
		for (const { attempt } of this.pendingCalls.values()) {
			const { cost, priority } = attempt.question
			if (cost >= LONG_ANSWER_MS) counts.set(priority, (counts.get(priority) ?? 0) + 1)
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

	/** @returns a negative number if the first question goes before the second. */
	private compare(left: RankedQuestion, right: RankedQuestion): number {
		const byShare = this.shares?.isEnabled && left.claim && right.claim
		const share = byShare ? this.shares.adviceShares.compare(left.claim, right.claim) : 0
		return share || left.rank - right.rank
	}

	private send(via: string, attempt: Attempt): void {
		const now = this.context.clock.now()
		const { step, workers, cost } = attempt.question
		const call = { attempt, timeoutAt: now + cost * TIMEOUT_FACTOR + TIMEOUT_MARGIN_MS }
		this.pendingCalls.set(via, call)
		attempt.pendingCount += 1
		const { claim } = attempt.question
		if (claim && this.shares?.isEnabled) this.shares.adviceShares.charge(claim, cost, now)
		this.context.advisers.ask(via, { step, workers }, (result) => {
			if (this.pendingCalls.get(via) !== call) return
			this.release(via, call, result.kind === 'answered' ? undefined : now)
			this.settle(attempt, result)
			this.dispatch()
		})
	}

	/**
	 * Marks an instance as free. One whose call failed, at `failedAt`, is used last for a while.
	 */
	private release(via: string, call: PendingCall, failedAt: number | undefined): void {
		this.pendingCalls.delete(via)
		call.attempt.pendingCount -= 1
		if (failedAt !== undefined) this.cooldowns.set(via, failedAt + COOLDOWN_MS)
	}

	/** Settles a question with its first answer, or with the last failure if there is no answer. */
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
