/** Shares of scarce room: accounts that press beside others, bursts after a pause, and what the next leader goes on with. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { NO_RESOURCES, QuotaAccount, type Resources } from '@rillrudder/scheduler'
import fc from 'fast-check'
import { AccountShares, type ServiceStanding } from './AccountShares'

const SERVICE = 'checks-service'
const PASS = 100
const TOTAL = 100_000
/** Longer than shares are averaged over. */
const LONG = 60_000

/** A full service whose accounts hold so many thousandths of a processor, and wait or not. */
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

	holds(name: string, cpu: number): void {
		const account = this.account(name)
		account.release(SERVICE, account.reservedAt(SERVICE))
		account.reserve(SERVICE, { ...NO_RESOURCES, cpu })
	}

	waits(name: string, cpu = TOTAL): void {
		if (cpu > 0) this.waiting.set(name, cpu)
		else this.waiting.delete(name)
	}

	pass(span: number): ServiceStanding[] {
		const changes: ServiceStanding[] = []
		for (const until = this.now + span; this.now < until;) {
			this.now += PASS
			changes.push(...this.look())
		}
		return changes
	}

	isOver(name: string): boolean {
		return this.shares.isOver(this.account(name), SERVICE)
	}

	private look(): ServiceStanding[] {
		const held = [...this.accounts.values()]
			.map((account) => account.reservedAt(SERVICE).cpu)
			.reduce((sum, cpu) => sum + cpu, 0)
		const room = { total: cpuOf(TOTAL), free: cpuOf(TOTAL - held) }
		const wants = [...this.waiting].map(([name, cpu]) => {
			return { account: this.account(name), service: SERVICE, need: cpuOf(cpu) }
		})
		const rooms = new Map([[SERVICE, room]])
		return this.shares.look({ now: this.now, rooms, accounts: this.accounts.values(), wants })
	}
}

function cpuOf(cpu: number): Resources {
	return { ...NO_RESOURCES, cpu }
}

test('one account that presses has more than its share while another waits, and is back in it with less', () => {
	const service = new FullService()
	service.holds('pressing', 70_000)
	service.holds('other', 30_000)
	service.waits('pressing')
	service.pass(LONG)
	assert.ok(!service.isOver('pressing'), 'nobody else waits')
	service.waits('other')
	const [change] = service.pass(PASS)
	assert.equal(change.account.terms.name, 'pressing')
	assert.ok(change.over)
	assert.ok(!service.isOver('other'))
	service.holds('pressing', 48_000)
	service.holds('other', 52_000)
	const [back] = service.pass(LONG)
	assert.ok(!back.over)
})

test('what a modest account does not want is shared by the others, by weight', () => {
	const service = new FullService()
	service.account('heavy', 3)
	service.waits('heavy')
	service.waits('light')
	service.waits('modest', 10_000)
	service.pass(PASS)
	const shareOf = (name: string) => service.shares.shareOf(service.account(name), SERVICE)
	assert.ok(Math.abs(shareOf('heavy') - 0.675) < 0.01)
	assert.ok(Math.abs(shareOf('light') - 0.225) < 0.01)
	assert.equal(shareOf('newcomer') > 0.15, true)
})

test('no share is larger than the quota', () => {
	const service = new FullService()
	service.account('bounded', 100, { cpu: 20_000 })
	service.waits('bounded')
	service.waits('other')
	service.pass(PASS)
	assert.equal(service.shares.shareOf(service.account('bounded'), SERVICE), 0.2)
	assert.equal(service.shares.shareOf(service.account('other'), SERVICE), 0.8)
})

test('a burst after a pause may hold more than its share for some seconds, one who presses may not', () => {
	const service = new FullService()
	for (const name of ['pressing', 'steady', 'bursting']) service.waits(name)
	service.waits('bursting', 0)
	service.holds('pressing', 55_000)
	service.holds('steady', 45_000)
	service.pass(LONG)
	service.holds('pressing', 45_000)
	service.holds('steady', 10_000)
	service.holds('bursting', 45_000)
	service.waits('bursting')
	service.pass(1000)
	assert.ok(!service.isOver('bursting'))
	assert.ok(service.isOver('pressing'))
	service.pass(LONG)
	assert.ok(service.isOver('bursting'))
})

test('room that is kept for other steps of an account counts as what it holds', () => {
	const service = new FullService()
	service.holds('town', 45_000)
	service.holds('city', 55_000)
	service.waits('town')
	service.waits('city')
	service.pass(LONG)
	const town = service.account('town')
	assert.ok(!service.shares.isOver(town, SERVICE))
	assert.ok(service.shares.isOver(town, SERVICE, cpuOf(40_000)))
})

test('use that moves about the share by less than a tenth changes the order at most once', () => {
	const service = new FullService()
	service.waits('town')
	service.waits('city')
	let changes = 0
	for (let second = 0; second < 60; second++) {
		const more = second % 2 === 0 ? 4000 : -4000
		service.holds('town', 50_000 + more)
		service.holds('city', 50_000 - more)
		changes += service.pass(1000).length
	}
	assert.ok(changes <= 1, `${changes} changes`)
})

test('the next leader goes on with the shares that accounts had: none is lost or doubled', () => {
	fc.assert(
		fc.property(fc.array(fc.integer({ min: 0, max: 20_000 }), { maxLength: 5 }), (held) => {
			const service = new FullService()
			held.forEach((cpu, number) => service.holds(`a${number}`, cpu))
			service.pass(5000)
			const before = [...service.shares.all()]
			service.shares = new AccountShares(service.now)
			for (const { account, had, service: at } of before) {
				service.shares.restore(account, { account: account.terms.name, service: at, share: had })
			}
			const after = [...service.shares.all()]
			assert.deepEqual(
				after.map(({ account, had }) => [account.terms.name, had]),
				before.map(({ account, had }) => [account.terms.name, had])
			)
		})
	)
})

test('somebody who waits is always within a share, so that work goes on', () => {
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
				service.holds(`a${number}`, held)
				if (wants) service.waits(`a${number}`)
			})
			service.pass(LONG)
			const waiting = accounts.map((one, number) => ({ ...one, name: `a${number}` }))
			const names = waiting.filter(({ wants }) => wants).map(({ name }) => name)
			assert.ok(names.length === 0 || names.some((name) => !service.isOver(name)))
		})
	)
})
