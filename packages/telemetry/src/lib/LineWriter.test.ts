/** Logging is bounded and never blocks. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ManualClock } from '@rillrudder/utils'
import { LineWriter, type LineSink } from './LineWriter'

class Reader implements LineSink {
	lines: string[] = []
	stopped = false
	private call: (() => void) | undefined

	write(text: string): boolean {
		this.lines.push(...text.trimEnd().split('\n'))
		return !this.stopped
	}

	onceDrained(call: () => void): void {
		this.call = call
	}

	resume(): void {
		this.stopped = false
		const { call } = this
		this.call = undefined
		call?.()
	}
}

function subject() {
	const clock = new ManualClock()
	const reader = new Reader()
	const writer = new LineWriter(reader, clock, (counts) => `left out ${JSON.stringify(counts)}`)
	return { clock, reader, writer }
}

test('a stopped reader blocks nothing, and the lines buffered for it are bounded', () => {
	const { clock, reader, writer } = subject()
	reader.stopped = true
	for (let second = 0; second < 200; second++) {
		for (let line = 0; line < 50; line++) writer.write('event', 'x'.repeat(200), true)
		clock.advance(1000)
	}
	assert.equal(reader.lines.length, 1)
	assert.ok(writer.dropped > 7000)
	reader.resume()
	assert.ok(reader.lines.length < 3000)
})

test('each event has a budget, and dropped lines are reported in the next second', () => {
	const { clock, reader, writer } = subject()
	for (let line = 0; line < 150; line++) writer.write('many', 'many', false)
	writer.write('few', 'few', false)
	assert.equal(reader.lines.length, 101)
	clock.advance(1000)
	writer.write('few', 'few', false)
	assert.equal(reader.lines[101], 'left out {"many":50}')
	assert.equal(writer.dropped, 50)
})

test('state changes are written regardless of the budget', () => {
	const { reader, writer } = subject()
	for (let line = 0; line < 500; line++) writer.write('many', 'many', false)
	writer.write('many', 'state', true)
	assert.equal(reader.lines.at(-1), 'state')
})
