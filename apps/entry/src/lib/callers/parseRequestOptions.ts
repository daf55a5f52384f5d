/** Parses the request headers that belong to the system. */
import type { IncomingHttpHeaders } from 'node:http'
import { failure, success, type Result } from '@rillrudder/utils'
import type { RequestOptions } from './HttpRequest'

const CUSTOMER_PATTERN = /^[a-z0-9][a-z0-9._-]{0,62}$/
const KEY_PATTERN = /^[\x21-\x7e]{1,255}$/
const DEFAULT_TIMEOUT_MS = 10_000
const MAX_TIMEOUT_MS = 60_000
const REPEATABLE_METHODS = new Set(['GET', 'HEAD'])

/**
 * @param method - the HTTP method; determines whether the request is repeatable by default.
 * @param headers - the request headers.
 * @returns the options, or an error message for the caller.
 * @internal
 */
export function parseRequestOptions(
	method: string,
	headers: IncomingHttpHeaders
): Result<RequestOptions, string> {
	const customer = singleValueOf(headers['rillrudder-customer'])
	if (customer === undefined) return failure('the header Rillrudder-Customer is missing')
	if (!CUSTOMER_PATTERN.test(customer)) return failure('Rillrudder-Customer is not a customer name')
	const key = singleValueOf(headers['idempotency-key'])
	if (key !== undefined && !KEY_PATTERN.test(key)) {
		return failure('Idempotency-Key is not 1 to 255 visible characters')
	}
	const repeatable = singleValueOf(headers['rillrudder-repeatable'])
	if (repeatable !== undefined && repeatable !== 'true' && repeatable !== 'false') {
		return failure('Rillrudder-Repeatable is neither true nor false')
	}
	const timeout = Number(singleValueOf(headers['rillrudder-timeout']) ?? DEFAULT_TIMEOUT_MS)
	if (!Number.isInteger(timeout) || timeout < 1 || timeout > MAX_TIMEOUT_MS) {
		return failure(`Rillrudder-Timeout is not 1 to ${MAX_TIMEOUT_MS} milliseconds`)
	}
	const isRepeatableMethod = REPEATABLE_METHODS.has(method)
	return success({
		customer,
		key,
		repeatable: repeatable === undefined ? isRepeatableMethod : repeatable === 'true',
		timeout,
	})
}

function singleValueOf(value: string | string[] | undefined): string | undefined {
	return Array.isArray(value) ? value.join(',') : value
}
