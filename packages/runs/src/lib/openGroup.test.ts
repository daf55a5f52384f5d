/** Groups whose members come and go: replaced instances, emptied disks, more disks than voters. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import type { Founder } from '@rillrudder/consensus'
import { GroupRun } from './GroupRun'

const durable = (id: string): Founder => ({ id, durable: true, local: true })
const THREE = ['a', 'b', 'c'].map(durable)
const ELECTED = 400

function openGroup(seed: number): GroupRun {
	const run = new GroupRun({ seed, founders: THREE, faultRate: 0, open: true })
	run.steps(ELECTED)
	assert.notEqual(run.leader, '')
	return run
}

function voters(run: GroupRun): string[] {
	const { members } = run.statusOf(run.leader)
	return members
		.filter((member) => member.voter)
		.map((member) => member.id)
		.sort()
}

function follower(run: GroupRun): string {
	return THREE.map((one) => one.id).find((id) => id !== run.leader) as string
}

test('a replaced instance becomes a voter, and the one that is gone is dropped', () => {
	const run = openGroup(1)
	const lost = follower(run)
	run.propose(run.leader, 30)
	run.replace(lost, 'new', 500)
	run.steps(1200)
	assert.equal(voters(run).includes('new'), true)
	assert.equal(voters(run).includes(lost), false)
	assert.equal(voters(run).length, 3)
	run.settle()
})

test('a replaced leader is no different', () => {
	const run = openGroup(2)
	const lost = run.leader
	run.replace(lost, 'new', 500)
	run.steps(1500)
	assert.equal(voters(run).includes('new'), true)
	assert.equal(voters(run).includes(lost), false)
	run.settle()
})

test('an emptied disk is a learner until it has caught up, then a voter', () => {
	const run = openGroup(3)
	const lost = follower(run)
	run.propose(run.leader, 300)
	run.takeDownAndWipe(lost, 100)
	run.steps(600)
	assert.equal(voters(run).includes(lost), true)
	run.settle()
})

test('a voter that was away while it was replaced comes back as a learner', () => {
	const run = openGroup(4)
	const away = follower(run)
	run.takeDown(away, 9000)
	run.addNode('spare', 100)
	run.steps(800)
	assert.deepEqual(voters(run).includes('spare'), true)
	assert.equal(voters(run).includes(away), false)
	run.steps(600)
	const { members } = run.statusOf(run.leader)
	assert.equal(members.find((member) => member.id === away)?.voter, false)
	run.settle()
})

test('all that restart at once have a leader again without waiting for an old one', () => {
	const run = openGroup(5)
	for (const { id } of THREE) run.takeDown(id, 200)
	run.steps(20)
	// 500 ms after the start, where followers alone would wait for 600 at least.
	run.steps(50)
	assert.notEqual(run.leader, '')
	run.settle()
})

test('quick elections do not disturb each other: few terms are spent', () => {
	for (let seed = 1; seed <= 40; seed++) {
		const run = openGroup(seed)
		const { term } = run.statusOf(run.leader)
		for (const { id } of THREE) run.takeDown(id, 200)
		run.steps(120)
		assert.notEqual(run.leader, '', `seed ${seed}`)
		const spent = run.statusOf(run.leader).term - term
		assert.ok(spent <= 2, `seed ${seed}: ${spent} terms`)
	}
})

test('with one of three away, nobody takes the quick way', () => {
	const run = openGroup(6)
	const { term } = run.statusOf(run.leader)
	const away = run.leader
	run.pause(away, 3000)
	for (const { id } of THREE) if (id !== away) run.takeDown(id, 100)
	run.steps(50)
	assert.equal(run.leader, '')
	assert.equal(run.statusOf(follower(run)).term, term)
	run.settle()
})

test('seeds that failed: a leader lost in the middle of giving a learner its vote', () => {
	// The candidate counted four voters, one of them gone and one still a learner in its own eyes.
	const run = new GroupRun({ seed: 5146, founders: THREE, faultRate: 0.02, open: true })
	run.steps(6000)
	run.settle()
})

test('an open group loses nothing under faults and replacements', () => {
	const faultRate = fc.constantFrom(0.005, 0.02)
	const seed = fc.integer({ min: 1, max: 1_000_000 })
	const founders = fc.constantFrom(THREE, ['a', 'b', 'c', 'd', 'e', 'f'].map(durable))
	fc.assert(
		fc.property(founders, faultRate, seed, (layout, rate, number) => {
			const run = new GroupRun({ seed: number, founders: layout, faultRate: rate, open: true })
			run.steps(3000)
			run.settle()
			assert.ok(run.tally.committed > 0)
		}),
		{ seed: 20_261_202, numRuns: 16, endOnFailure: true }
	)
})
