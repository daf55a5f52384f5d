/** Quotas and shares of their holders. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { isWithinQuota, QuotaAccount, scaleQuota } from './QuotaAccount'

const TOTAL = { cpu: 10_000, memory: 1000, accelerators: 0 }
const SOME = { cpu: 1000, memory: 500, accelerators: 0 }

test('a resource that is absent from a quota is not limited', () => {
	assert.ok(isWithinQuota(SOME, undefined))
	assert.ok(isWithinQuota(SOME, { cpu: 1000 }))
	assert.ok(!isWithinQuota(SOME, { cpu: 999 }))
	assert.ok(isWithinQuota(SOME, { memory: undefined }))
	assert.deepEqual({ ...scaleQuota({ cpu: 1000 }, 1.5) }.cpu, 1500)
})

test('usage counts against the quota until it is subtracted', () => {
	const account = new QuotaAccount({ name: 'town', weight: 1, quota: { memory: 900 } })
	assert.ok(account.allows(SOME))
	account.addUsage(SOME)
	assert.ok(!account.allows(SOME))
	account.subtractUsage(SOME)
	assert.ok(account.allows(SOME))
})

test('the weighted share is the dominant share by weight, and finite for a weight of 0', () => {
	const account = new QuotaAccount({ name: 'town', weight: 2 })
	account.addUsage(SOME)
	assert.equal(account.weightedShareOf(TOTAL), 0.25)
	account.terms = { name: 'town', weight: 0 }
	assert.ok(Number.isFinite(account.weightedShareOf(TOTAL)))
})
