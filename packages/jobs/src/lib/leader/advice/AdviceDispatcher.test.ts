/** Tests that long answers leave instances for short ones, and that lost answers are repeated. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ManualClock } from '@rillrudder/utils'
import { AdviceDispatcher, type RankedQuestion } from './AdviceDispatcher'
import type { LeaderContext } from '../LeaderContext'
import { Advisers, type AdviceQuestion, type AdviceResult } from '../ports'

const ANSWERED: AdviceResult = { kind: 'answered', tickets: new Map() }
const INSTANCES = Array.from({ length: 10 }, (_, number) => `instance-${number}`)
const SHORT_MS = 30
const LONG_MS = 500

/** Answers each question after its cost in milliseconds. */
class TimedAdvisers extends Advisers {
	asked: AdviceQuestion[] = []
	/** Instances that return no answer. */
	readonly silent = new Set<string>()

	constructor(
		private readonly clock: ManualClock,
		private readonly costs: Map<string, number>
	) {
		super()
	}

	override available(): readonly string[] {
		return INSTANCES
	}

	override ask(via: string, question: AdviceQuestion, done: (result: AdviceResult) => void): void {
		this.asked.push(question)
		if (this.silent.has(via)) return
		this.clock.after(this.costs.get(question.step) ?? 0, () => done(ANSWERED))
	}
}

function subject() {
	const clock = new ManualClock()
	const costs = new Map<string, number>()
	const advisers = new TimedAdvisers(clock, costs)
	const dispatcher = new AdviceDispatcher({ clock, advisers } as unknown as LeaderContext)
	const waits: number[] = []
	const ask = (step: string, cost: number, priority = 0): void => {
		costs.set(step, cost)
		const since = clock.now()
		const done = (): void => {
			if (cost === SHORT_MS) waits.push(clock.now() - since - cost)
		}
		const rank = cost + priority
		const question: RankedQuestion = { step, workers: [], cost, rank, priority, done }
		dispatcher.ask(question)
	}
	return { clock, advisers, ask, waits, dispatcher }
}

test('long answers never occupy all instances', () => {
	const { advisers, ask } = subject()
	for (let number = 0; number < 20; number++) ask(`long ${number}`, LONG_MS)
	assert.equal(advisers.asked.length, 8)
	ask('short', SHORT_MS)
	assert.equal(advisers.asked.length, 9)
})

// Guards against starvation: questions of a higher priority occupied every instance for as long as
// they kept coming.
test('questions of a lower priority keep a share of the instances while others could fill them all', () => {
	const { clock, advisers, ask } = subject()
	for (let round = 0; round < 10; round++) {
		for (let number = 0; number < 8; number++) {
			ask(`first ${round} ${number}`, LONG_MS, 1)
			ask(`second ${round} ${number}`, LONG_MS, 2)
		}
		clock.advance(LONG_MS)
	}
	const second = advisers.asked.filter(({ step }) => step.startsWith('second'))
	assert.ok(second.length >= 2 * 9, `${second.length} of ${advisers.asked.length}`)
	const first = advisers.asked.length - second.length
	assert.ok(first > second.length * 2, `${first} of ${advisers.asked.length}`)
})

test('a burst of short questions reserves more instances for short answers', () => {
	const { clock, ask, waits } = subject()
	for (let number = 0; number < 400; number++) {
		ask(`long ${number}`, LONG_MS)
		// 90 short ones a second fill 2.7 instances.
		ask(`short ${number}`, SHORT_MS)
		clock.advance(11)
	}
	const late = waits.slice(100).filter((wait) => wait > SHORT_MS * 3)
	assert.ok(late.length < 10, `${late.length} of ${waits.length} waited long`)
})

test('an overdue question is asked through a second instance, and answered once', () => {
	const { clock, advisers, ask, waits, dispatcher } = subject()
	advisers.silent.add(INSTANCES[0])
	ask('short', SHORT_MS)
	for (let tick = 0; tick < 100; tick++) {
		clock.advance(20)
		dispatcher.tick(clock.now())
	}
	assert.equal(advisers.asked.length, 2)
	assert.equal(waits.length, 1)
	assert.ok(waits[0] < SHORT_MS * 6, `${waits[0]} ms`)
})
