/**
 * Decodes the bodies of messages between instances. They come from this program, in this version or
 * an adjacent one, so the fields of a known call are not validated. Malformed bytes and unknown
 * kinds decode to nothing and never throw.
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

/**
 * @returns the call in a message body; undefined if it is malformed or of an unknown kind.
 * @internal
 */
export function decodeCall(body: Uint8Array): CellCall | undefined {
	const call = decodeJson(body)
	const kind = kindOf(call)
	return kind !== undefined && Object.hasOwn(CALL_KINDS, kind) ? (call as CellCall) : undefined
}

/** @returns the reply in a message body; undefined if it is malformed. @internal */
export function decodeReply(body: Uint8Array): CellReply | undefined {
	const reply = decodeJson(body)
	return kindOf(reply) === undefined ? undefined : (reply as CellReply)
}

/** @returns the rows of a batch that are objects; none if the body is not an array. @internal */
export function decodeBatch(body: Uint8Array): readonly unknown[] {
	const batch = decodeJson(body)
	return Array.isArray(batch) ? (batch as unknown[]).filter(isJsonObject) : []
}

/** An object whose fields are not yet validated. @internal */
export type JsonObject = { readonly [name: string]: unknown }

/** @returns whether a value is an object, neither null nor an array. @internal */
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
