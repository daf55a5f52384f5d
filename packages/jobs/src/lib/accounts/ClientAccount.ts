/** Client accounts: who may hand work in, and how much of the cell is theirs. */
import { createHash } from 'node:crypto'
import type { QuotaTerms } from '@rillrudder/scheduler'

/**
 * A client account. Its weight is its part of the cell when all is full, and also the number of jobs a second that it
 * may send before the others' work goes first.
 *
 * @public
 */
export interface ClientAccount extends QuotaTerms {
	/** Digests of the keys that its callers show, see {@link digestOf}. */
	readonly keyDigests: readonly string[]
}

/**
 * @param key - a key as a caller shows it.
 * @returns what stands for it everywhere but in the operator's document: SHA-256, in hex. Keys are long random texts,
 * so that a digest tells nothing of them.
 * @public
 */
export function digestOf(key: string): string {
	return createHash('sha256').update(key).digest('hex')
}

/** @returns what is kept of an account with each of its jobs: all but its keys. @internal */
export function termsOf({ name, weight, quota }: ClientAccount): QuotaTerms {
	return { name, weight, quota }
}

const EMPTY_KEY = digestOf('')

/**
 * @param accounts - the accounts of one configuration.
 * @param report - told of each thing that is wrong, with its path. No message holds a key or its digest.
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
		if (names.has(name)) report(path, `has the name of another account (${name})`)
		names.add(name)
		if (!(weight >= 0)) report(`${path}.weight`, 'is not a number from 0')
		for (const [resource, amount] of Object.entries(quota ?? {})) {
			if (amount !== undefined && !(amount >= 0))
				report(`${path}.quota.${resource}`, 'is not a number from 0')
		}
		for (const digest of account.keyDigests) {
			const holder = holders.get(digest)
			if (digest === EMPTY_KEY) report(`${path}.keys`, 'hold an empty key')
			if (holder !== undefined && holder !== name) report(`${path}.keys`, `hold one of ${holder}`)
			holders.set(digest, name)
		}
	})
}
