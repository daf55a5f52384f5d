import assert from 'node:assert/strict'
import { test } from 'node:test'
import { decodeCommands, type CellCommand } from '@rillrudder/jobs'
import { Meter } from '@rillrudder/telemetry'
import { ManualClock } from '@rillrudder/utils'
import { CommandBatcher } from './CommandBatcher'

/** Longer than commands wait for an entry in flight. */
const LONG_WAIT_MS = 20

/** Accepts proposals; a test sets whether its leader may act. */
class TestGroup {
	mayAct = true
	/** Ids of the commands in each entry. */
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
	readonly batcher = new CommandBatcher(this.group, this.clock, new Meter())
	readonly done: string[] = []

	/** Proposes a command in a separate turn. */
	turn(id: string): void {
		const command: CellCommand = { kind: 'cancel', id, at: 0 }
		this.batcher.propose(command, () => this.done.push(id))
		this.batcher.flush()
	}
}

test('a command is proposed in its own turn when no entry is in flight', () => {
	const subject = new Subject()
	subject.turn('a')
	subject.batcher.onEntryApplied()
	subject.turn('b')
	assert.deepEqual(subject.group.entries, [['a'], ['b']])
	assert.deepEqual(subject.done, ['a'])
})

test('hundreds of turns a second make one entry per commit, in order, and each callback runs once', () => {
	const subject = new Subject()
	for (const id of ['a', 'b', 'c', 'd']) subject.turn(id)
	assert.deepEqual(subject.group.entries, [['a']])
	subject.batcher.onEntryApplied()
	subject.batcher.flush()
	subject.batcher.onEntryApplied()
	assert.deepEqual(subject.group.entries, [['a'], ['b', 'c', 'd']])
	assert.deepEqual(subject.done, ['a', 'b', 'c', 'd'])
	subject.clock.advance(LONG_WAIT_MS)
	assert.equal(subject.group.entries.length, 2)
})

test('on a slow disk, commands wait only for the batch delay for the entry before them', () => {
	const subject = new Subject()
	subject.turn('a')
	subject.turn('b')
	subject.clock.advance(LONG_WAIT_MS)
	assert.deepEqual(subject.group.entries, [['a'], ['b']])
})

test('waiting commands are not proposed by an instance that may not act or no longer leads', () => {
	const subject = new Subject()
	subject.turn('a')
	subject.turn('b')
	subject.group.mayAct = false
	subject.clock.advance(LONG_WAIT_MS)
	assert.deepEqual(subject.group.entries, [['a']])
	subject.group.mayAct = true
	subject.batcher.flush()
	assert.deepEqual(subject.group.entries, [['a'], ['b']])
	subject.turn('c')
	subject.batcher.end()
	subject.clock.advance(LONG_WAIT_MS)
	assert.equal(subject.group.entries.length, 2)
})
