/**
 * Lends request slots to entry instances in bulk, so that a repeatable request needs no round trip to
 * the leader.
 *
 * The log counts lent slots as taken until the entry instance has returned them, or until it has sent
 * no heartbeat for so long that its loan has certainly expired.
 */
import type { Beat } from '@rillrudder/protocol'
import type { CommandOf } from '../commands/DataCentreCommand'
import type { DataCentreState } from '../state/DataCentreState'
import type { Loan } from '../state/WorkerTable'
import type { Effects, Moment } from './Effects'
import type { EntryIncarnation, EntryIncarnations } from './EntryIncarnations'
import type { SlotSelector } from './SlotSelector'
import { LOAN_DURATION_MS, addDriftMargin } from './timing'

/** Share of the slots that is never lent, kept for requests that are not repeatable. */
const UNLENT_SHARE = 0.25
/** Slots lent to an entry instance that has none, so that its next request finds one. */
const INITIAL_SLOTS = 4
const MAX_SLOTS_PER_GRANT = 64
/** How long a request may still run after its loan has expired, in milliseconds. */
const RUN_OUT_MS = 1000

/**
 * The leader's controller for lent slots.
 *
 * @internal
 */
export class LoanController {
	/** Holders whose loan change is not yet applied, with the slots reserved for the change. */
	private readonly pendingChanges = new Map<string, Map<string, number>>()

	constructor(
		private readonly dataCentre: string,
		private readonly state: DataCentreState,
		private readonly holders: EntryIncarnations,
		private readonly slots: SlotSelector,
		private readonly effects: Effects
	) {}

	/** Discards leader-only state. */
	clear(): void {
		this.pendingChanges.clear()
	}

	/** Handles a heartbeat: renews the loan, takes returned slots back and lends more if requested. */
	onHeartbeat(holder: EntryIncarnation, beat: Beat, moment: Moment): void {
		const loan = this.state.workers.loanOf(holder.incarnationId)
		if (!this.pendingChanges.has(holder.incarnationId)) this.adjust(holder, beat, loan, moment)
		this.sendLoans(holder, loan, moment)
	}

	/** Handles the commit of a loan change. */
	onLoanChanged(command: CommandOf<'lend'>, moment: Moment): void {
		this.release(command.holder)
		const holder = this.holders.find(command.holder)
		if (holder) this.sendLoans(holder, this.state.workers.loanOf(command.holder), moment)
	}

	/** Takes back the slots of holders whose loans have certainly expired. */
	tick(moment: Moment): void {
		for (const loan of this.state.workers.loans()) {
			const silentMs = moment.now - this.holders.lastHeartbeatOf(loan.holder, moment.now)
			if (
				silentMs < addDriftMargin(LOAN_DURATION_MS) + RUN_OUT_MS ||
				this.pendingChanges.has(loan.holder)
			)
				continue
			this.pendingChanges.set(loan.holder, new Map())
			this.effects.commands.push({ kind: 'lend', holder: loan.holder, slots: [] })
		}
	}

	private adjust(
		holder: EntryIncarnation,
		beat: Beat,
		loan: Loan | undefined,
		moment: Moment
	): void {
		const settled = !loan || beat.grant === loan.grant
		const lent = new Map(loan?.slots)
		const wanted = settled ? heldOf(beat, lent) : lent
		const more = settled ? this.additionalSlots(beat, wanted, moment.now) : 0
		const added = this.pick(more, moment.now)
		if (added.size === 0 && sameSlots(lent, wanted)) return
		for (const [worker, slots] of added) {
			wanted.set(worker, (wanted.get(worker) ?? 0) + slots)
		}
		this.pendingChanges.set(holder.incarnationId, added)
		const slots = [...wanted].map(([worker, count]) => ({ worker, slots: count }))
		this.effects.commands.push({ kind: 'lend', holder: holder.incarnationId, slots })
	}

	private additionalSlots(beat: Beat, held: Map<string, number>, now: number): number {
		// Slots are lent only inside the data centre; other data centres send only ordered requests.
		if (beat.leaving || beat.dataCentre !== beat.group) return 0
		const has = sum(held)
		const minimum = has === 0 ? INITIAL_SLOTS : 0
		const wanted = Math.max(beat.wanted, minimum)
		const lendable = this.slots.totalSlots(now) * (1 - UNLENT_SHARE) - this.totalLent()
		const fair = Math.ceil(
			(this.slots.totalSlots(now) * (1 - UNLENT_SHARE)) / Math.max(1, this.holders.size)
		)
		const fairLimit = this.areOthersWaiting(beat) ? fair - has : Number.POSITIVE_INFINITY
		return Math.max(0, Math.floor(Math.min(wanted, lendable, fairLimit, MAX_SLOTS_PER_GRANT)))
	}

	private pick(count: number, now: number): Map<string, number> {
		const picked = new Map<string, number>()
		for (let left = count; left > 0; left--) {
			const worker = this.slots.choose(now)
			if (!worker) break
			this.slots.reserve(worker.id)
			picked.set(worker.id, (picked.get(worker.id) ?? 0) + 1)
		}
		return picked
	}

	/** Sends the holder its loan; slots of workers that take no new work are sent as 0, to be returned. */
	private sendLoans(holder: EntryIncarnation, loan: Loan | undefined, moment: Moment): void {
		const loans = [...(loan?.slots ?? [])].map(([id, slots]) => {
			const worker = this.state.workers.find(id)
			const open = worker !== undefined && this.slots.canTakeWork(worker, moment.now)
			return { worker: id, address: worker?.address ?? '', slots: open ? slots : 0 }
		})
		const value = {
			beat: holder.heartbeatSequence,
			loans,
			dataCentre: this.dataCentre,
			grant: loan?.grant ?? 0,
			term: moment.term,
		}
		this.effects.outgoingEvents.push({ to: holder.id, event: { body: { $case: 'loans', value } } })
	}

	private release(holder: string): void {
		for (const [worker, slots] of this.pendingChanges.get(holder) ?? [])
			this.slots.release(worker, slots)
		this.pendingChanges.delete(holder)
	}

	private totalLent(): number {
		let lent = 0
		for (const loan of this.state.workers.loans()) lent += sum(loan.slots)
		return lent
	}

	private areOthersWaiting(beat: Beat): boolean {
		for (const holder of this.holders.all()) {
			if (holder.wanted > 0 && !holder.incarnationId.endsWith(`#${beat.incarnation}`)) return true
		}
		return false
	}
}

/** @returns the slots that the entry instance still holds, at most what it was lent. */
function heldOf(beat: Beat, lent: Map<string, number>): Map<string, number> {
	const held = new Map<string, number>()
	for (const use of beat.uses) {
		const slots = Math.min(use.held, lent.get(use.worker) ?? 0)
		if (slots > 0) held.set(use.worker, slots)
	}
	return held
}

function sameSlots(left: ReadonlyMap<string, number>, right: ReadonlyMap<string, number>) {
	if (left.size !== right.size) return false
	for (const [worker, slots] of left) if (right.get(worker) !== slots) return false
	return true
}

function sum(slots: ReadonlyMap<string, number>): number {
	let total = 0
	for (const count of slots.values()) total += count
	return total
}
