/** One failure at a time, each with the mechanism that is there for it. */
import assert from 'node:assert/strict'
import { createRequire } from 'node:module'
import { test } from 'node:test'
import { Replica, type Founder } from '@rillrudder/consensus'
import { Random } from '@rillrudder/utils'
import { GroupRun } from './GroupRun'

const FOUNDERS: Founder[] = [
	{ id: 'a', durable: true, local: true },
	{ id: 'b', durable: false, local: true },
	{ id: 'c', durable: true, local: false },
]

const ELECTION_STEPS = 400

/** A group that has elected its preferred leader. */
function group(seed: number, founders = FOUNDERS): GroupRun {
	const run = new GroupRun({ seed, founders, faultRate: 0 })
	run.steps(ELECTION_STEPS)
	assert.equal(run.leader, 'a')
	return run
}

type Method = (this: unknown, ...given: unknown[]) => unknown

/** Runs with one method of the consensus package replaced, and puts it back. */
function withBroken(
	file: string,
	owner: string,
	name: string,
	broken: Method,
	act: () => void
): void {
	const load = createRequire(__filename)
	const { prototype } = load(`@rillrudder/consensus/dist/lib/${file}`)[owner] as {
		prototype: object
	}
	const kept = Object.getOwnPropertyDescriptor(prototype, name) as PropertyDescriptor
	const isGetter = kept.get !== undefined
	Object.defineProperty(prototype, name, {
		configurable: true,
		...(isGetter ? { get: broken as () => unknown } : { value: broken, writable: true }),
	})
	try {
		act()
	} finally {
		Object.defineProperty(prototype, name, kept)
	}
}

test('a leader killed in the middle of an append is replaced, and nothing committed is lost', () => {
	const run = group(1)
	run.propose('a', 20)
	run.takeDown('a', 5000)
	run.steps(300)
	assert.ok(['b', 'c'].includes(run.leader))
	run.settle()
})

test('a leader that slept past its lease finds out before it acts', () => {
	const run = group(2)
	run.pause('a', 3000)
	run.steps(250)
	assert.notEqual(run.leader, 'a')
	assert.notEqual(run.leader, '')
	run.steps(60)
	assert.equal(run.mayAct('a') && run.leader !== 'a', false)
	run.settle()
})

test('without the lease, a leader that slept acts beside its successor', () => {
	const broken = function (): unknown {
		return true
	}
	withBroken('Leadership', 'Leadership', 'holdsLease', broken, () => {
		assert.throws(() => {
			for (let seed = 1; seed < 20; seed++) {
				const run = group(seed)
				run.pause('a', 3000)
				run.steps(400)
			}
		}, /one lease at a time/)
	})
})

test('both of a pair restarted: the group goes on once the one with a disk is back', () => {
	const run = group(3)
	run.propose('a', 5)
	run.steps(30)
	run.takeDown('a', 800)
	run.takeDown('b', 800)
	run.steps(80)
	assert.equal(run.leader, '')
	run.settle()
})

test('a voter without a disk that restarted votes only once it is taken back', () => {
	const run = group(4)
	run.takeDown('b', 50)
	run.steps(8)
	const self = run.statusOf('b').members.find((member) => member.id === 'b')
	assert.equal(self?.voter ?? false, false)
	run.settle()
})

/** A new life of `b` that knows nothing is asked for its vote. @returns whether it gives it. */
function voteOfNewLife(): boolean {
	const random = new Random(1)
	const options = { group: 'run', id: 'b', incarnation: 'new', founders: FOUNDERS, random }
	const replica = new Replica(options, 0)
	const value = { pre: false, lastIndex: 9, lastTerm: 2, transfer: false, unanimous: false }
	const call = { group: 'run', from: 'c', incarnation: 'life-c', term: 3 }
	// Long after its start, so that only the lack of a vote speaks against it.
	replica.receive({ ...call, body: { $case: 'voteCall', value } }, 60_000)
	const [answer] = replica.takeOutput().afterSync
	const { body } = answer.message
	assert.ok(body?.$case === 'voteReply')
	return body.value.granted
}

test('a life that has forgotten its votes gives none; if it did, it could vote twice in a term', () => {
	assert.equal(voteOfNewLife(), false)
	const broken = () => true
	withBroken('ReplicaState', 'ReplicaState', 'isMember', broken, () => {
		assert.equal(voteOfNewLife(), true)
	})
})

test('a link that works one way does not unseat a leader that the others hear', () => {
	const run = group(5)
	const { term } = run.statusOf('a')
	run.cut('a', 'c', 4000)
	run.steps(350)
	assert.equal(run.leader, 'a')
	assert.equal(run.statusOf('a').term, term)
	run.settle()
})

test('without pre-votes, a voter that hears nothing drives the term up', () => {
	const broken = function (this: unknown, now: unknown): unknown {
		const election = this as { campaign(now: unknown, reason: object): void }
		return election.campaign(now, {})
	}
	withBroken('Election', 'Election', 'startPreVote', broken, () => {
		const run = group(5)
		const { term } = run.statusOf('a')
		run.cut('a', 'c', 4000)
		run.steps(350)
		assert.ok(run.statusOf('c').term > term)
	})
})

test('a pair that is cut off from the distant voter goes on, and the distant one does not', () => {
	const run = group(6)
	for (const id of ['a', 'b']) run.cut('c', id, 3000)
	const before = run.statusOf('a').commit
	run.propose('a', 10)
	run.steps(200)
	assert.ok(run.statusOf('a').commit >= before + 10)
	assert.equal(run.leader, 'a')
	run.settle()
})

test('a second loss right after a repair loses nothing', () => {
	const run = group(7)
	run.propose('a', 50)
	run.steps(50)
	run.takeDownAndWipe('c', 200)
	run.steps(300)
	const repaired = run.statusOf('a').members.find((member) => member.id === 'c')
	assert.equal(repaired?.voter, true)
	run.takeDownAndWipe('a', 500)
	run.steps(200)
	run.settle()
})

test('if a repaired replica counted before it had caught up, a second loss would lose entries', () => {
	const broken = function (this: unknown): unknown {
		type Part = { id: string; voter: boolean }
		const { state } = this as { state: { memberships: { current: { members: Part[] } } } }
		const leadership = this as unknown as {
			mayChangeMembership(): boolean
			changeMembership(member: Part): void
		}
		const learner = state.memberships.current.members.find((member) => !member.voter)
		if (!learner || !leadership.mayChangeMembership()) return undefined
		return leadership.changeMembership({ ...learner, voter: true })
	}
	const loseTwo = (): void => {
		const run = group(7)
		run.takeDownAndWipe('c', 100)
		run.steps(40)
		run.propose('a', 200)
		run.steps(25)
		run.takeDownAndWipe('b', 100)
		run.steps(400)
		assert.notEqual(run.leader, '')
		run.settle()
	}
	loseTwo()
	withBroken('Leadership', 'Leadership', 'promoteCaughtUp', broken, () => {
		const run = group(7)
		run.takeDownAndWipe('c', 100)
		run.steps(12)
		const early = run.statusOf('a').members.find((member) => member.id === 'c')
		const whole = run.statusOf('c').commit >= run.statusOf('a').commit
		assert.ok(early === undefined || !early.voter || !whole)
	})
})

test('a membership change that a leader takes with it is made again', () => {
	const run = group(8)
	run.takeDown('b', 50)
	run.steps(7)
	run.takeDown('a', 300)
	run.settle()
	const members = run.statusOf('c').members
	assert.ok(members.every((member) => member.voter))
})

test('a snapshot whose installation is interrupted is installed in the end', () => {
	const run = group(9)
	run.takeDownAndWipe('c', 100)
	run.propose('a', 1500)
	run.steps(14)
	run.cut('a', 'c', 500)
	run.steps(60)
	run.takeDown('c', 100)
	run.settle()
	assert.ok(run.tally.snapshotsInstalled > 0)
})

test('leadership is handed over on a planned stop without waiting for a timeout', () => {
	const run = group(10)
	const { term } = run.statusOf('a')
	run.handOver('a')
	run.steps(40)
	assert.notEqual(run.leader, '')
	assert.ok(run.statusOf('b').term > term || run.statusOf('c').term > term)
	run.settle()
})

/** While its machine was suspended another leads; it hears nothing of that, and its steady clock says that no time has passed. */
function suspendLeader(seed: number): void {
	const run = group(seed)
	run.suspend('a', 4000)
	for (const other of ['b', 'c']) {
		run.cut('a', other, 6000)
		run.cut(other, 'a', 6000)
	}
	run.steps(420)
	const others = ['b', 'c'].map((id) => run.statusOf(id).role)
	assert.ok(others.includes('leader'))
	assert.equal(run.mayAct('a'), false)
	run.settle()
}

test('a leader whose machine was suspended asks the others before it acts', () => {
	for (let seed = 1; seed <= 8; seed++) suspendLeader(seed)
})

test('runs with suspended machines beside all other faults hold every rule', () => {
	let suspensions = 0
	for (let seed = 1; seed <= 12; seed++) {
		const run = new GroupRun({ seed, founders: FOUNDERS, faultRate: 0.02, suspensions: true })
		run.steps(3000)
		run.settle()
		suspensions += run.tally.faults.suspend
	}
	assert.ok(suspensions > 20)
})

test('without noticing that time was skipped, two leaders act at a time', () => {
	const ignored = (): void => undefined
	withBroken('Replica', 'Replica', 'revalidateLease', ignored, () => {
		for (let seed = 1; seed <= 8; seed++) {
			assert.throws(() => suspendLeader(seed), /one lease at a time/)
		}
	})
})
