/** Who waits for the end of which request, and until when. */
import type { Submit } from '@rillrudder/protocol'
import Heap from 'heap-js'

const LOOK_AGAIN_AFTER = 500

/** A request that somebody waits for. @internal */
export interface Waiter {
	readonly customer: string
	readonly key: string
	/** Monotonic moment at which the caller's time is over. */
	readonly callersDeadline: number
	/** When to look at it next: first at the caller's deadline. */
	readonly deadline: number
	/** Processes that wait for the verdict. */
	readonly processes: Set<string>
}

/**
 * Who waits for which request.
 *
 * @internal
 */
export class Waiters {
	private readonly byName = new Map<string, Waiter>()
	private readonly deadlines = new Heap<Waiter>((a, b) => a.deadline - b.deadline)

	clear(): void {
		this.byName.clear()
		this.deadlines.clear()
	}

	/** A process waits for a request, besides those that do already. */
	add(from: string, submit: Submit, now: number): void {
		const known = this.byName.get(requestName(submit))
		if (known) {
			known.processes.add(from)
			return
		}
		const { customer, key } = submit
		const deadline = now + submit.timeoutMs
		const processes = new Set([from])
		this.put({ customer, key, callersDeadline: deadline, deadline, processes })
	}

	/** A process no longer waits. */
	leave(from: string, request: RequestName): void {
		this.byName.get(requestName(request))?.processes.delete(from)
	}

	/** Whether anybody waits for a request. */
	anyFor(request: RequestName): boolean {
		return this.processesFor(request).size > 0
	}

	/** The processes that wait for a request. */
	processesFor(request: RequestName): ReadonlySet<string> {
		return this.byName.get(requestName(request))?.processes ?? NOBODY
	}

	/** Whether the time of a request's caller is over. */
	isOver(request: RequestName, now: number): boolean {
		const waiter = this.byName.get(requestName(request))
		return waiter !== undefined && waiter.callersDeadline <= now
	}

	/** Nobody waits any more. */
	remove(request: RequestName): void {
		this.byName.delete(requestName(request))
	}

	/** @returns the requests that are due to be looked at. */
	takeDue(now: number): Waiter[] {
		const due: Waiter[] = []
		for (let first = this.deadlines.peek(); first; first = this.deadlines.peek()) {
			if (first.deadline > now) break
			this.deadlines.pop()
			if (this.byName.get(requestName(first)) === first) due.push(first)
		}
		return due
	}

	/** WorkerPolls at a request once more a little later. */
	lookAgain(waiter: Waiter, now: number): void {
		this.put({ ...waiter, deadline: now + LOOK_AGAIN_AFTER })
	}

	private put(waiter: Waiter): void {
		this.byName.set(requestName(waiter), waiter)
		this.deadlines.push(waiter)
	}
}

/** What names a request. @internal */
export interface RequestName {
	readonly customer: string
	readonly key: string
}

/** @returns one text for a request's name. @internal */
export function requestName(request: RequestName): string {
	return `${request.customer}\n${request.key}`
}

const NOBODY: ReadonlySet<string> = new Set()
