import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Replica } from '@rillrudder/consensus'
import { ManualClock, Random } from '@rillrudder/utils'
import { Group } from './Group'
import { StateMachine } from './StateMachine'

const SELF = 'a'
const COMMAND = new Uint8Array(1024)
const TIMING = { heartbeatInterval: 50, electionTimeout: 300, spread: 0.5, drift: 0.05 }

/** Counts applied commands and snapshots; its snapshots have a fixed size. */
class Counter extends StateMachine {
	commands = 0
	snapshots = 0

	constructor(private readonly snapshotBytes: number) {
		super()
	}

	override apply(): void {
		this.commands += 1
	}

	override snapshot(): Uint8Array {
		this.snapshots += 1
		return new Uint8Array(this.snapshotBytes)
	}

	override restore(): void {
		this.commands = 0
	}
}

/** @returns how many snapshots a single-member group takes over a number of 1 KiB commands. */
async function countSnapshots(commands: number, snapshotBytes: number): Promise<number> {
	const clock = new ManualClock()
	const founders = [{ id: SELF, durable: true, local: true }]
	const random = new Random(1)
	const options = { group: 'g', id: SELF, incarnation: '1', founders, timing: TIMING, random }
	const machine = new Counter(snapshotBytes)
	const group = new Group({
		name: 'g',
		replica: new Replica(options, clock.now()),
		machine,
		clock,
		send: () => undefined,
		fail: (fault) => {
			throw fault
		},
	})
	const nextTurn = () => new Promise((resolve) => setImmediate(resolve))
	while (!group.mayAct) {
		clock.advance(20)
		group.tick()
		await nextTurn()
	}
	for (let proposed = 0; proposed < commands; proposed++) {
		assert.ok(group.propose([COMMAND]))
		if (proposed % 50 === 0) await nextTurn()
	}
	await nextTurn()
	assert.equal(machine.commands, commands)
	await group.stop()
	return machine.snapshots
}

test('a snapshot is taken once the log reaches a share of its size, and never for a short log', async () => {
	assert.equal(await countSnapshots(200, 1000), 0)
	const small = await countSnapshots(2000, 1000)
	assert.ok(small >= 6 && small <= 8, `${small} snapshots of 1 KB`)
	const large = await countSnapshots(2000, 1024 * 1024)
	assert.ok(large >= 3 && large <= 5, `${large} snapshots of 1 MiB`)
})
