/** The requests of each customer, in the order of their admission by the log. */
import { invariant } from '@rillrudder/utils'
import type { CommandOf } from '../commands/DataCentreCommand'
import type { StoredAnswer } from '../records/StoredAnswer'
import { Outcome, type Problem } from '../records/Outcome'

/** The lifecycle phases of a request. @public */
export const RequestPhase = {
	Admitted: 'admitted',
	Started: 'started',
	/** Removed from the queue before it started, as nobody waited for it; admitted again if resent. */
	Parked: 'parked',
	Finished: 'finished',
} as const
/** One of the phases. @public */
export type RequestPhase = (typeof RequestPhase)[keyof typeof RequestPhase]

/** A request that is not repeatable. @public */
export interface RequestRecord {
	readonly customer: string
	readonly key: string
	readonly digest: string
	phase: RequestPhase
	/** Number of attempts so far; another one is made only if the last one certainly did not start. */
	attempt: number
	/** Log index of the start, a fencing token: later attempts have higher ones. */
	fence: number
	worker: string
	/** Incarnation of the entry instance that holds the body or makes the attempt. */
	holder: string
	outcome?: Outcome
	problem?: Problem
	answer?: StoredAnswer
	/** How long an attempt may run, in milliseconds. */
	readonly timeout: number
	/** When it was last changed by admission or finish, milliseconds since the epoch. */
	at: number
}

interface CustomerTable {
	/** Keys that are admitted or started, oldest first. */
	readonly open: string[]
	readonly records: Map<string, RequestRecord>
}

/** A request that has finished or was parked, listed in the order of these events. */
interface EndedRequest {
	readonly customer: string
	readonly key: string
	readonly at: number
	readonly bytes: number
}

const BYTES_PER_MIB = 1024 * 1024

/**
 * All requests that are not repeatable, of the customers whose home is this data centre.
 *
 * @public
 */
export class RequestTable {
	private readonly customers = new Map<string, CustomerTable>()
	private ended: EndedRequest[] = []
	private answerBytes = 0
	private openCount = 0

	/** Requests that are admitted or started. */
	get open(): number {
		return this.openCount
	}

	/** Size of the stored answers in bytes. */
	get answerSize(): number {
		return this.answerBytes
	}

	/** @returns a request, if its key is known. */
	find(customer: string, key: string): RequestRecord | undefined {
		return this.customers.get(customer)?.records.get(key)
	}

	/** @returns the customer's oldest request that has not finished. */
	head(customer: string): RequestRecord | undefined {
		const table = this.customers.get(customer)
		return table && table.open.length > 0 ? table.records.get(table.open[0]) : undefined
	}

	/** @returns the request that follows the customer's oldest that has not finished. */
	next(customer: string): RequestRecord | undefined {
		const table = this.customers.get(customer)
		return table && table.open.length > 1 ? table.records.get(table.open[1]) : undefined
	}

	/** @returns how many of the customer's requests have not finished. */
	openOf(customer: string): number {
		return this.customers.get(customer)?.open.length ?? 0
	}

	/** @returns every request that has not finished, by customer in their order. */
	*allOpen(): IterableIterator<RequestRecord> {
		for (const table of this.customers.values()) {
			for (const key of table.open) yield table.records.get(key) as RequestRecord
		}
	}

	admit(command: CommandOf<'admit'>): void {
		const table = this.table(command.customer)
		const known = table.records.get(command.key)
		if (known && known.phase !== RequestPhase.Parked) return
		const { customer, key, digest, holder, timeout, at } = command
		const record = createRecord({ customer, key, digest, holder, timeout, at })
		// The attempt number continues, so that no two attempts share one.
		record.attempt = known?.attempt ?? 0
		table.records.set(key, record)
		table.open.push(key)
		this.openCount += 1
	}

	/** @returns whether the start has an effect. */
	start(command: CommandOf<'start'>, index: number): boolean {
		const record = this.find(command.customer, command.key)
		if (!record || record.phase !== RequestPhase.Admitted) return false
		if (command.attempt !== record.attempt + 1) return false
		if (this.head(command.customer) !== record) return false
		record.phase = RequestPhase.Started
		record.attempt = command.attempt
		record.fence = index
		record.worker = command.worker
		record.holder = command.holder
		return true
	}

	/** @returns whether the attempt was reverted. */
	unstart(command: CommandOf<'unstart'>): boolean {
		const record = this.find(command.customer, command.key)
		if (record?.phase !== RequestPhase.Started || record.attempt !== command.attempt) return false
		record.phase = RequestPhase.Admitted
		record.worker = ''
		return true
	}

	/** @returns whether the request left the queue. */
	park(command: CommandOf<'park'>): boolean {
		const table = this.table(command.customer)
		const record = table.records.get(command.key)
		if (record?.phase !== RequestPhase.Admitted) return false
		table.open.splice(table.open.indexOf(command.key), 1)
		this.openCount -= 1
		record.phase = RequestPhase.Parked
		record.at = command.at
		this.trackEnded(record)
		return true
	}

	/** @returns whether the request ended by this command; only the first end has an effect. */
	finish(command: CommandOf<'finish'>): boolean {
		const table = this.table(command.customer)
		let record = table.records.get(command.key)
		if (record?.phase === RequestPhase.Finished) return false
		if (!record) {
			record = this.createUnadmitted(command)
			table.records.set(command.key, record)
		} else if (record.phase !== RequestPhase.Parked) {
			const started = record.phase === RequestPhase.Started
			if (started && command.outcome === Outcome.NotRun) return false
			table.open.splice(table.open.indexOf(command.key), 1)
			this.openCount -= 1
		}
		record.phase = RequestPhase.Finished
		record.outcome = command.outcome
		record.problem = command.problem
		record.answer = command.answer
		record.at = command.at
		this.trackEnded(record)
		return true
	}

	/** Drops answers and keys that have passed their retention time, and the oldest answers above the limit. */
	forget(command: CommandOf<'forget'>): void {
		let keys = 0
		for (const one of this.ended) {
			if (one.at >= command.answersBefore) break
			if (one.at < command.keysBefore) keys += 1
			this.dropAnswer(one)
		}
		for (const one of this.ended.slice(0, keys)) this.dropKey(one)
		this.ended = this.ended.slice(keys)
		this.dropAnswersAboveLimit(command.answerMemory * BYTES_PER_MIB)
	}

	/** @returns whether a `forget` command would drop anything. */
	hasExpired(answersBefore: number, answerMemory: number): boolean {
		if (this.answerBytes > answerMemory * BYTES_PER_MIB) return true
		return this.ended.length > 0 && this.ended[0].at < answersBefore
	}

	/** @returns all of a customer's records, for transfer to its next home. */
	recordsOf(customer: string): RequestRecord[] {
		return [...(this.customers.get(customer)?.records.values() ?? [])]
	}

	/** Adds records from a customer's previous home. */
	addFromPreviousHome(records: readonly RequestRecord[]): void {
		for (const record of records) {
			const table = this.table(record.customer)
			if (table.records.has(record.key)) continue
			const ended = record.phase === RequestPhase.Finished || record.phase === RequestPhase.Parked
			invariant(ended, 'a home moves only without open requests')
			table.records.set(record.key, { ...record })
			this.trackEnded(record)
		}
	}

	/** @returns the table for a snapshot. */
	save(): unknown {
		return {
			customers: [...this.customers].map(([name, table]) => ({
				name,
				open: table.open,
				records: [...table.records.values()],
			})),
			finished: this.ended,
			answerBytes: this.answerBytes,
		}
	}

	/** @param saved - what `save` returned. */
	load(saved: unknown): void {
		const table = saved as {
			customers: { name: string; open: string[]; records: RequestRecord[] }[]
			finished: EndedRequest[]
			answerBytes: number
		}
		this.customers.clear()
		this.openCount = 0
		for (const { name, open, records } of table.customers) {
			this.customers.set(name, { open, records: new Map(records.map((one) => [one.key, one])) })
			this.openCount += open.length
		}
		this.ended = table.finished
		this.answerBytes = table.answerBytes
	}

	private table(customer: string): CustomerTable {
		let table = this.customers.get(customer)
		if (!table) {
			table = { open: [], records: new Map() }
			this.customers.set(customer, table)
		}
		return table
	}

	private createUnadmitted(command: CommandOf<'finish'>): RequestRecord {
		const { customer, key, at } = command
		const digest = command.digest ?? ''
		return createRecord({ customer, key, digest, holder: '', timeout: 0, at })
	}

	private trackEnded(record: RequestRecord): void {
		const bytes = record.answer?.body.length ?? 0
		this.answerBytes += bytes
		this.ended.push({ customer: record.customer, key: record.key, at: record.at, bytes })
	}

	/** Drops the oldest answers until the stored ones are within the limit. */
	private dropAnswersAboveLimit(bytes: number): void {
		for (const one of this.ended) {
			if (this.answerBytes <= bytes) return
			this.dropAnswer(one)
		}
	}

	private dropAnswer(one: EndedRequest): void {
		const record = this.find(one.customer, one.key)
		if (!record?.answer) return
		record.answer = undefined
		this.answerBytes -= one.bytes
	}

	/** Drops a key, unless its request was admitted again since then. */
	private dropKey(one: EndedRequest): void {
		const record = this.find(one.customer, one.key)
		if (record?.at === one.at) this.customers.get(one.customer)?.records.delete(one.key)
	}
}

type Admission = Pick<RequestRecord, 'customer' | 'key' | 'digest' | 'holder' | 'timeout' | 'at'>

function createRecord(admission: Admission): RequestRecord {
	return { ...admission, phase: RequestPhase.Admitted, attempt: 0, fence: 0, worker: '' }
}
