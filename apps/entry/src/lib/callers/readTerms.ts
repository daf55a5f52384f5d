/** Reads the system's own headers; what is malformed gets a clear answer. */
import type { IncomingHttpHeaders } from 'node:http'
import { failure, success, type Result } from '@rillrudder/utils'
import type { RequestTerms } from './HttpRequest'

const CUSTOMER = /^[a-z0-9][a-z0-9._-]{0,62}$/
const KEY = /^[\x21-\x7e]{1,255}$/
const DEFAULT_TIMEOUT = 10_000
const MOST_TIMEOUT = 60_000
const REPEATABLE_METHODS = new Set(['GET', 'HEAD'])

/**
 * @param method - the request's method.
 * @param headers - its headers.
 * @returns its terms, or what is wrong, for the caller.
 * @internal
 */
export function readTerms(
	method: string,
	headers: IncomingHttpHeaders
): Result<RequestTerms, string> {
	const customer = one(headers['rillrudder-customer'])
	if (customer === undefined) return failure('the header Rillrudder-Customer is missing')
	if (!CUSTOMER.test(customer)) return failure('Rillrudder-Customer is not a customer name')
	const key = one(headers['idempotency-key'])
	if (key !== undefined && !KEY.test(key)) {
		return failure('Idempotency-Key is not 1 to 255 visible characters')
	}
	const repeatable = one(headers['rillrudder-repeatable'])
	if (repeatable !== undefined && repeatable !== 'true' && repeatable !== 'false') {
		return failure('Rillrudder-Repeatable is neither true nor false')
	}
	const timeout = Number(one(headers['rillrudder-timeout']) ?? DEFAULT_TIMEOUT)
	if (!Number.isInteger(timeout) || timeout < 1 || timeout > MOST_TIMEOUT) {
		return failure(`Rillrudder-Timeout is not 1 to ${MOST_TIMEOUT} milliseconds`)
	}
	const byMethod = REPEATABLE_METHODS.has(method)
	return success({
		customer,
		key,
		repeatable: repeatable === undefined ? byMethod : repeatable === 'true',
		timeout,
	})
}

function one(value: string | string[] | undefined): string | undefined {
	return Array.isArray(value) ? value.join(',') : value
}
