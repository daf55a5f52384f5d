/** Validation of client accounts: findings name the path of the error and contain no key. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { checkCellConfiguration, type CellConfiguration } from '../records/Cell'
import { accountNamed, QUEUE } from '../testing/samples'
import { digestOf, type ClientAccount } from './ClientAccount'

function configurationWith(accounts: readonly ClientAccount[]): CellConfiguration {
	const services = [{ name: QUEUE.service, enforcesCapacity: false }]
	return { version: 1, queues: [QUEUE], services, accounts, document: '{}' }
}

function findingsOf(...accounts: ClientAccount[]): string[] {
	const findings = checkCellConfiguration(configurationWith(accounts))
	return findings.map(({ place, message }) => `${place.path} ${message}`)
}

test('accounts with distinct keys are valid, also without a quota or a key', () => {
	const rotating = accountNamed('town', { keyDigests: [digestOf('old'), digestOf('new')] })
	const limited = accountNamed('city', { quota: { cpu: 1000, memory: undefined } })
	assert.deepEqual(findingsOf(rotating, limited, accountNamed('gone', { keyDigests: [] })), [])
})

test('every error is found and reported with its path', () => {
	const findings = findingsOf(
		accountNamed('town', { weight: -1, quota: { cpu: Number.NaN } }),
		accountNamed('town', { keyDigests: [digestOf('')] }),
		accountNamed('city', { keyDigests: [digestOf('TOWN')] }),
		accountNamed('', { keyDigests: [] })
	)
	assert.deepEqual(findings, [
		'accounts[0].weight is not a number of at least 0',
		'accounts[0].quota.cpu is not a number of at least 0',
		'accounts[1] has the same name as another account (town)',
		'accounts[1].keys hold an empty key',
		'accounts[2].keys hold one of town',
		'accounts[3] has no name',
	])
	assert.ok(!findings.join().includes(digestOf('TOWN')))
})
