/** Orders to workers, as sent from the leader to the instance that carries them, and their results. */
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

/** The kind and content of an order. @internal */
export type CarriedBody =
	| { readonly kind: 'start'; readonly order: StartOrder }
	| { readonly kind: 'stop'; readonly order: StopOrder }
	| { readonly kind: 'pace'; readonly order: PaceOrder }
	| { readonly kind: 'poll'; readonly order: PollOrder }

/** An order with its target worker. @internal */
export interface CarriedOrder {
	/** Unique within the leadership that sends it. */
	readonly id: number
	readonly worker: OrderTarget
	readonly body: CarriedBody
}

/** The result of one order. @internal */
export interface CarriedResult {
	/** Id of the order. */
	readonly id: number
	readonly result: OrderResult | PollResult
}

/** @returns the encoded batch of orders or results. @internal */
export function encodeCarried(batch: readonly (CarriedOrder | CarriedResult)[]): Buffer {
	return Buffer.from(JSON.stringify(batch))
}

/**
 * @returns the valid orders of a batch; invalid ones get no result and count as not carried.
 * @internal
 */
export function decodeOrders(body: Uint8Array): CarriedOrder[] {
	return decodeBatch(body).filter(isOrder)
}

/** @returns the valid results of a batch. @internal */
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
