/** The part of js-csp 1.0.1 that this package uses; the library publishes no types. */
declare module 'js-csp' {
	/** A channel of values other than null. */
	export interface Channel {
		close(): void
	}
	/** What a goroutine yields. */
	export interface Instruction {
		readonly channel?: Channel
	}
	export const CLOSED: null
	export const buffers: { dropping(size: number): unknown }
	export function chan(buffer?: unknown): Channel
	export function take(channel: Channel): Instruction
	export function putAsync(channel: Channel, value: unknown): void
	export function go(generator: () => Generator<Instruction, void, unknown>): Channel
}
