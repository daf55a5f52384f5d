/**
 * Shares of scarce capacity: overloading accounts, bursts after a pause, and the handover to the
 * next leader.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { NO_RESOURCES, QuotaAccount, type Resources } from '@rillrudder/scheduler'
import fc from 'fast-check'
import { AccountShares, type ServiceStanding } from './AccountShares'

const SERVICE = 'checks-service'
const PASS_MS = 100
const TOTAL = 100_000
/** Longer than the averaging time of shares. */
const LONG_MS = 60_000

/** A full service whose accounts hold given thousandths of a processor, and wait or not. */
class FullService {
	now = 0
	shares = new AccountShares(0)
	private readonly accounts = new Map<string, QuotaAccount>()
	private readonly waiting = new Map<string, number>()

	account(name: string, weight = 1, quota?: Partial<Resources>): QuotaAccount {
		const known = this.accounts.get(name) ?? new QuotaAccount({ name, weight, quota })
		this.accounts.set(name, known)
		return known
	}

	setHeld(name: string, cpu: number): void {
		const account = this.account(name)
		account.release(SERVICE, account.reservedAt(SERVICE))
		account.reserve(SERVICE, { ...NO_RESOURCES, cpu })
	}

	setDemand(name: string, cpu = TOTAL): void {
		if (cpu > 0) this.waiting.set(name, cpu)
		else this.waiting.delete(name)
	}

	advance(span: number): ServiceStanding[] {
		const changes: ServiceStanding[] = []
		for (const until = this.now + span; this.now < until;) {
			this.now += PASS_MS
			changes.push(...this.update())
		}
		return changes
	}

	isOver(name: string): boolean {
		return this.shares.isOverShare(this.account(name), SERVICE)
	}

	private update(): ServiceStanding[] {
		const held = [...this.accounts.values()]
			.map((account) => account.reservedAt(SERVICE).cpu)
			.reduce((sum, cpu) => sum + cpu, 0)
		const capacity = { total: cpuOf(TOTAL), free: cpuOf(TOTAL - held) }
		const demands = [...this.waiting].map(([name, cpu]) => {
			return { account: this.account(name), service: SERVICE, need: cpuOf(cpu) }
		})
		const capacities = new Map([[SERVICE, capacity]])
		return this.shares.update({
			now: this.now,
			capacities,
			accounts: this.accounts.values(),
			demands,
		})
	}
}

function cpuOf(cpu: number): Resources {
	return { ...NO_RESOURCES, cpu }
}

test('an overloading account is over its share while another one waits, and within it once it holds less', () => {
	const service = new FullService()
	service.setHeld('overloading', 70_000)
	service.setHeld('other', 30_000)
	service.setDemand('overloading')
	service.advance(LONG_MS)
	assert.ok(!service.isOver('overloading'), 'nobody else waits')
	service.setDemand('other')
	const [change] = service.advance(PASS_MS)
	assert.equal(change.account.terms.name, 'overloading')
	assert.ok(change.over)
	assert.ok(!service.isOver('other'))
	service.setHeld('overloading', 48_000)
	service.setHeld('other', 52_000)
	const [back] = service.advance(LONG_MS)
	assert.ok(!back.over)
})

test('capacity that an account does not want goes to the others, by weight', () => {
	const service = new FullService()
	service.account('heavy', 3)
	service.setDemand('heavy')
	service.setDemand('light')
	service.setDemand('modest', 10_000)
	service.advance(PASS_MS)
	const shareOf = (name: string) => service.shares.shareOf(service.account(name), SERVICE)
	assert.ok(Math.abs(shareOf('heavy') - 0.675) < 0.01)
	assert.ok(Math.abs(shareOf('light') - 0.225) < 0.01)
	assert.equal(shareOf('newcomer') > 0.15, true)
})

test('a share never exceeds the quota', () => {
	const service = new FullService()
	service.account('bounded', 100, { cpu: 20_000 })
	service.setDemand('bounded')
	service.setDemand('other')
	service.advance(PASS_MS)
	assert.equal(service.shares.shareOf(service.account('bounded'), SERVICE), 0.2)
	assert.equal(service.shares.shareOf(service.account('other'), SERVICE), 0.8)
})

test('an account may exceed its share for some seconds in a burst after a pause, but not under constant overload', () => {
	const service = new FullService()
	for (const name of ['overloading', 'steady', 'bursting']) service.setDemand(name)
	service.setDemand('bursting', 0)
	service.setHeld('overloading', 55_000)
	service.setHeld('steady', 45_000)
	service.advance(LONG_MS)
	service.setHeld('overloading', 45_000)
	service.setHeld('steady', 10_000)
	service.setHeld('bursting', 45_000)
	service.setDemand('bursting')
	service.advance(1000)
	assert.ok(!service.isOver('bursting'))
	assert.ok(service.isOver('overloading'))
	service.advance(LONG_MS)
	assert.ok(service.isOver('bursting'))
})

test('capacity that is reserved for other steps of an account counts as held', () => {
	const service = new FullService()
	service.setHeld('town', 45_000)
	service.setHeld('city', 55_000)
	service.setDemand('town')
	service.setDemand('city')
	service.advance(LONG_MS)
	const town = service.account('town')
	assert.ok(!service.shares.isOverShare(town, SERVICE))
	assert.ok(service.shares.isOverShare(town, SERVICE, cpuOf(40_000)))
})

test('usage that varies around the share by less than a tenth changes the order at most once', () => {
	const service = new FullService()
	service.setDemand('town')
	service.setDemand('city')
	let changes = 0
	for (let second = 0; second < 60; second++) {
		const more = second % 2 === 0 ? 4000 : -4000
		service.setHeld('town', 50_000 + more)
		service.setHeld('city', 50_000 - more)
		changes += service.advance(1000).length
	}
	assert.ok(changes <= 1, `${changes} changes`)
})

test('the next leader continues with the recent shares of accounts: none is lost or doubled', () => {
	fc.assert(
		fc.property(fc.array(fc.integer({ min: 0, max: 20_000 }), { maxLength: 5 }), (held) => {
			const service = new FullService()
			held.forEach((cpu, number) => service.setHeld(`a${number}`, cpu))
			service.advance(5000)
			const before = [...service.shares.standings()]
			service.shares = new AccountShares(service.now)
			for (const { account, had, service: at } of before) {
				service.shares.restore(account, { account: account.terms.name, service: at, share: had })
			}
			const after = [...service.shares.standings()]
			assert.deepEqual(
				after.map(({ account, had }) => [account.terms.name, had]),
				before.map(({ account, had }) => [account.terms.name, had])
			)
		})
	)
})

test('at least one waiting account is always within its share, so that scheduling never stalls', () => {
	const account = fc.record({
		held: fc.integer({ min: 0, max: 12_000 }),
		wants: fc.boolean(),
		weight: fc.integer({ min: 1, max: 9 }),
	})
	fc.assert(
		fc.property(fc.array(account, { minLength: 2, maxLength: 8 }), (accounts) => {
			const service = new FullService()
			accounts.forEach(({ held, wants, weight }, number) => {
				service.account(`a${number}`, weight)
				service.setHeld(`a${number}`, held)
				if (wants) service.setDemand(`a${number}`)
			})
			service.advance(LONG_MS)
			const waiting = accounts.map((one, number) => ({ ...one, name: `a${number}` }))
			const names = waiting.filter(({ wants }) => wants).map(({ name }) => name)
			assert.ok(names.length === 0 || names.some((name) => !service.isOver(name)))
		})
	)
})
