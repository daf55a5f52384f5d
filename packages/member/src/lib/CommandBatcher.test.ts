import assert from 'node:assert/strict'
import { test } from 'node:test'
import { decodeCommands, type CellCommand } from '@rillrudder/jobs'
import { Meter } from '@rillrudder/telemetry'
import { ManualClock } from '@rillrudder/utils'
import { CommandBatcher } from './CommandBatcher'

/** Longer than commands wait for an entry that is under way. */
const LONG = 20

/** Takes proposals, and says whether its leader may act. */
class TestGroup {
	mayAct = true
	/** Ids that each entry tells of. */
	readonly entries: string[][] = []

	propose([bytes]: readonly Uint8Array[]): boolean {
		const commands = decodeCommands(bytes)
		this.entries.push(commands.map((command) => ('id' in command ? command.id : '')))
		return true
	}
}

class Subject {
	readonly clock = new ManualClock()
	readonly group = new TestGroup()
	readonly batching = new CommandBatcher(this.group, this.clock, new Meter())
	readonly done: string[] = []

	/** Proposes in a turn of its own. */
	turn(id: string): void {
		const command: CellCommand = { kind: 'cancel', id, at: 0 }
		this.batching.propose(command, () => this.done.push(id))
		this.batching.flush()
	}
}

test('a command goes out in its own turn when no entry is under way', () => {
	const subject = new Subject()
	subject.turn('a')
	subject.batching.onEntryApplied()
	subject.turn('b')
	assert.deepEqual(subject.group.entries, [['a'], ['b']])
	assert.deepEqual(subject.done, ['a'])
})

test('hundreds of turns a second make one entry for each commit, in order, and each command is told once', () => {
	const subject = new Subject()
	for (const id of ['a', 'b', 'c', 'd']) subject.turn(id)
	assert.deepEqual(subject.group.entries, [['a']])
	subject.batching.onEntryApplied()
	subject.batching.flush()
	subject.batching.onEntryApplied()
	assert.deepEqual(subject.group.entries, [['a'], ['b', 'c', 'd']])
	assert.deepEqual(subject.done, ['a', 'b', 'c', 'd'])
	subject.clock.advance(LONG)
	assert.equal(subject.group.entries.length, 2)
})

test('while a disk is slow commands wait no longer than a short span for the entry before them', () => {
	const subject = new Subject()
	subject.turn('a')
	subject.turn('b')
	subject.clock.advance(LONG)
	assert.deepEqual(subject.group.entries, [['a'], ['b']])
})

test('what waits is not proposed by an instance that may not act, or that leads no more', () => {
	const subject = new Subject()
	subject.turn('a')
	subject.turn('b')
	subject.group.mayAct = false
	subject.clock.advance(LONG)
	assert.deepEqual(subject.group.entries, [['a']])
	subject.group.mayAct = true
	subject.batching.flush()
	assert.deepEqual(subject.group.entries, [['a'], ['b']])
	subject.turn('c')
	subject.batching.end()
	subject.clock.advance(LONG)
	assert.equal(subject.group.entries.length, 2)
})
