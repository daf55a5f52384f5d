/** Client accounts: their keys, weights and quotas. */
import { createHash } from 'node:crypto'
import type { QuotaTerms } from '@rillrudder/scheduler'

/**
 * A client account. Its weight determines its share of a full cell. It is also its rate: the number
 * of jobs a second that it may submit before the work of other accounts takes precedence.
 *
 * @public
 */
export interface ClientAccount extends QuotaTerms {
	/** Digests of its keys, see {@link digestOf}. */
	readonly keyDigests: readonly string[]
}

/**
 * @param key - a key as a client sends it.
 * @returns its SHA-256 digest in hex, which represents the key everywhere except in the operator's
 * document. Keys are long random texts, so that a digest does not reveal them.
 * @public
 */
export function digestOf(key: string): string {
	return createHash('sha256').update(key).digest('hex')
}

/**
 * @returns the terms of an account that are stored with each of its jobs: all but its keys.
 * @internal
 */
export function termsOf({ name, weight, quota }: ClientAccount): QuotaTerms {
	return { name, weight, quota }
}

const EMPTY_KEY = digestOf('')

/**
 * Validates the accounts of a configuration.
 *
 * @param accounts - the accounts of one configuration.
 * @param report - called for each finding with its path and message. No message contains a key or
 * its digest.
 * @internal
 */
export function checkAccounts(
	accounts: readonly ClientAccount[],
	report: (path: string, message: string) => void
): void {
	const names = new Set<string>()
	const holders = new Map<string, string>()
	accounts.forEach((account, index) => {
		const path = `accounts[${index}]`
		const { name, weight, quota } = account
		if (name === '') report(path, 'has no name')
		if (names.has(name)) report(path, `has the same name as another account (${name})`)
		names.add(name)
		if (!(weight >= 0)) report(`${path}.weight`, 'is not a number of at least 0')
		for (const [resource, amount] of Object.entries(quota ?? {})) {
			if (amount !== undefined && !(amount >= 0))
				report(`${path}.quota.${resource}`, 'is not a number of at least 0')
		}
		for (const digest of account.keyDigests) {
			const holder = holders.get(digest)
			if (digest === EMPTY_KEY) report(`${path}.keys`, 'hold an empty key')
			if (holder !== undefined && holder !== name) report(`${path}.keys`, `hold one of ${holder}`)
			holders.set(digest, name)
		}
	})
}
