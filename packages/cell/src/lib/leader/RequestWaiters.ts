/** The processes that wait for the verdict on a request, and the caller's deadline of each request. */
import type { Submit } from '@rillrudder/protocol'
import Heap from 'heap-js'

const RECHECK_DELAY_MS = 500

/** A request that at least one process has waited for. @internal */
export interface RequestWaiter {
	readonly customer: string
	readonly key: string
	/** Deadline of the caller, in monotonic milliseconds. */
	readonly callerDeadline: number
	/** When to check it next, in monotonic milliseconds; initially the caller's deadline. */
	readonly dueAt: number
	/** Processes that wait for the verdict. */
	readonly processes: Set<string>
}

/**
 * Tracks which processes wait for which request.
 *
 * @internal
 */
export class RequestWaiters {
	private readonly byId = new Map<string, RequestWaiter>()
	private readonly byDueTime = new Heap<RequestWaiter>((a, b) => a.dueAt - b.dueAt)

	clear(): void {
		this.byId.clear()
		this.byDueTime.clear()
	}

	/** Adds a process that waits for a request. The deadline is that of the first process added. */
	add(from: string, submit: Submit, now: number): void {
		const known = this.byId.get(formatRequestId(submit))
		if (known) {
			known.processes.add(from)
			return
		}
		const { customer, key } = submit
		const deadline = now + submit.timeoutMs
		const processes = new Set([from])
		this.put({ customer, key, callerDeadline: deadline, dueAt: deadline, processes })
	}

	/** Removes a process that no longer waits. */
	removeProcess(from: string, request: RequestId): void {
		this.byId.get(formatRequestId(request))?.processes.delete(from)
	}

	/** Whether any process waits for a request. */
	has(request: RequestId): boolean {
		return this.processesFor(request).size > 0
	}

	/** The processes that wait for a request. */
	processesFor(request: RequestId): ReadonlySet<string> {
		return this.byId.get(formatRequestId(request))?.processes ?? NO_PROCESSES
	}

	/** Whether the caller's deadline for a request has passed. */
	hasTimedOut(request: RequestId, now: number): boolean {
		const waiter = this.byId.get(formatRequestId(request))
		return waiter !== undefined && waiter.callerDeadline <= now
	}

	/** Removes a request with all its waiting processes. */
	remove(request: RequestId): void {
		this.byId.delete(formatRequestId(request))
	}

	/** @returns the requests that are due for a check, and removes them from the schedule. */
	takeDue(now: number): RequestWaiter[] {
		const due: RequestWaiter[] = []
		for (let first = this.byDueTime.peek(); first; first = this.byDueTime.peek()) {
			if (first.dueAt > now) break
			this.byDueTime.pop()
			if (this.byId.get(formatRequestId(first)) === first) due.push(first)
		}
		return due
	}

	/** Schedules another check of a request after `RECHECK_DELAY_MS`. */
	recheckLater(waiter: RequestWaiter, now: number): void {
		this.put({ ...waiter, dueAt: now + RECHECK_DELAY_MS })
	}

	private put(waiter: RequestWaiter): void {
		this.byId.set(formatRequestId(waiter), waiter)
		this.byDueTime.push(waiter)
	}
}

/** Identifies a request. @internal */
export interface RequestId {
	readonly customer: string
	readonly key: string
}

/** @returns a request's identity as one string, for use as a map key. @internal */
export function formatRequestId(request: RequestId): string {
	return `${request.customer}\n${request.key}`
}

const NO_PROCESSES: ReadonlySet<string> = new Set()
