/** Orders to workers as they travel from the leader to the instance that carries them, and what came of them. */
import type {
	OrderResult,
	OrderTarget,
	PaceOrder,
	PollOrder,
	PollResult,
	StartOrder,
	StopOrder,
} from '@rillrudder/jobs'
import { decodeBatch, isJsonObject } from '../messageBodies'

/** What a worker is told. @internal */
export type CarriedBody =
	| { readonly kind: 'start'; readonly order: StartOrder }
	| { readonly kind: 'stop'; readonly order: StopOrder }
	| { readonly kind: 'pace'; readonly order: PaceOrder }
	| { readonly kind: 'poll'; readonly order: PollOrder }

/** One order with the worker that it is for. @internal */
export interface CarriedOrder {
	/** Unique within the leadership that gives it. */
	readonly id: number
	readonly worker: OrderTarget
	readonly body: CarriedBody
}

/** What came of one order. @internal */
export interface CarriedResult {
	/** Of the order. */
	readonly id: number
	readonly result: OrderResult | PollResult
}

/** @returns orders or results as bytes. @internal */
export function encodeCarried(batch: readonly (CarriedOrder | CarriedResult)[]): Buffer {
	return Buffer.from(JSON.stringify(batch))
}

/** @returns the orders of a batch that can be read; the others bring no result, and count as not carried. @internal */
export function decodeOrders(body: Uint8Array): CarriedOrder[] {
	return decodeBatch(body).filter(isOrder)
}

/** @returns the results of a batch that can be read. @internal */
export function decodeResults(body: Uint8Array): CarriedResult[] {
	return decodeBatch(body).filter(isResult)
}

const ORDER_KINDS: readonly unknown[] = ['start', 'stop', 'pace', 'poll']

function isOrder(row: unknown): row is CarriedOrder {
	if (!isJsonObject(row) || typeof row.id !== 'number') return false
	const { worker, body } = row
	if (!isJsonObject(worker) || typeof worker.id !== 'string') return false
	if (typeof worker.address !== 'string') return false
	return isJsonObject(body) && ORDER_KINDS.includes(body.kind) && isJsonObject(body.order)
}

function isResult(row: unknown): row is CarriedResult {
	if (!isJsonObject(row) || typeof row.id !== 'number') return false
	return isJsonObject(row.result) && typeof row.result.kind === 'string'
}
