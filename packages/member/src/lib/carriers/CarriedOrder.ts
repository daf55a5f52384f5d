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

/** @returns the orders of a batch. @internal */
export function decodeOrders(body: Uint8Array): CarriedOrder[] {
	return JSON.parse(Buffer.from(body).toString()) as CarriedOrder[]
}

/** @returns the results of a batch. @internal */
export function decodeResults(body: Uint8Array): CarriedResult[] {
	return JSON.parse(Buffer.from(body).toString()) as CarriedResult[]
}
