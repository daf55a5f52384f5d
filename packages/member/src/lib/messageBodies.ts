/**
 * Reads the bodies of messages between instances. They come from instances of this program, of this version or one beside it, so what a
 * known call holds is taken as it is; bytes that are no message, and kinds that are not known, are none, and never throw.
 */
import type { CellCall, CellReply } from '@rillrudder/jobs'

const CALL_KINDS: { readonly [kind in CellCall['kind']]: true } = {
	submit: true,
	show: true,
	cancel: true,
	'list-jobs': true,
	'explain-job': true,
	'list-accounts': true,
	configure: true,
	'read-configuration': true,
	heartbeat: true,
	heartbeats: true,
	leave: true,
	advise: true,
}

/** @returns the call that a message holds; undefined for none. @internal */
export function decodeCall(body: Uint8Array): CellCall | undefined {
	const call = decodeJson(body)
	const kind = kindOf(call)
	return kind !== undefined && Object.hasOwn(CALL_KINDS, kind) ? (call as CellCall) : undefined
}

/** @returns the reply that a message holds; undefined for none. @internal */
export function decodeReply(body: Uint8Array): CellReply | undefined {
	const reply = decodeJson(body)
	return kindOf(reply) === undefined ? undefined : (reply as CellReply)
}

/** @returns the rows of a batch that are objects; none for what is no batch. @internal */
export function decodeBatch(body: Uint8Array): readonly unknown[] {
	const batch = decodeJson(body)
	return Array.isArray(batch) ? (batch as unknown[]).filter(isJsonObject) : []
}

/** An object of which nothing is known yet. @internal */
export type JsonObject = { readonly [name: string]: unknown }

/** @returns whether a value is an object with fields. @internal */
export function isJsonObject(value: unknown): value is JsonObject {
	return typeof value === 'object' && value !== null && !Array.isArray(value)
}

function kindOf(value: unknown): string | undefined {
	return isJsonObject(value) && typeof value.kind === 'string' ? value.kind : undefined
}

function decodeJson(body: Uint8Array): unknown {
	try {
		return JSON.parse(Buffer.from(body).toString())
	} catch {
		return undefined
	}
}
