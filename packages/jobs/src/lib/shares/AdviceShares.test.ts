/** Accounts that compete for the instances that ask for advice. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { QuotaAccount } from '@rillrudder/scheduler'
import { urgencyOf } from '../placement/StepUrgency'
import { AdviceShares } from './AdviceShares'

const TIMES = { deadline: 5000, usefulUntil: 9000, remaining: 1000 }
const QUESTION = 600

function claimOf(name: string, weight = 1, priority = 1) {
	const account = new QuotaAccount({ name, weight })
	return { account, urgency: urgencyOf(TIMES, { priority }) }
}

test('among questions of one priority the account with the least recent time by weight goes first', () => {
	const shares = new AdviceShares(0)
	const pressing = claimOf('pressing')
	const heavy = claimOf('heavy', 10)
	const other = claimOf('other')
	shares.charge(pressing, 7 * QUESTION, 0)
	shares.charge(heavy, 7 * QUESTION, 0)
	shares.charge(other, QUESTION, 0)
	assert.ok(shares.compare(other, pressing) < 0)
	assert.ok(shares.compare(heavy, other) < 0)
	assert.ok(shares.compare(claimOf('pressing', 1, 0), other) < 0)
	assert.equal(shares.compare(pressing, pressing), 0)
})

test('the recent time of an account decays, and the next leader continues with the rest', () => {
	const shares = new AdviceShares(0)
	shares.charge(claimOf('pressing'), 7 * QUESTION, 0)
	const [noted] = shares.recentTimes(10_000)
	assert.ok(noted.time < 3 * QUESTION && noted.time > QUESTION)
	const next = new AdviceShares(10_000)
	next.restore(noted)
	assert.deepEqual(next.recentTimes(10_000), [noted])
	assert.deepEqual(next.recentTimes(200_000), [])
})
