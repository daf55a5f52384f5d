/** How many workers a question names: those that are wanted, or all where they cost little. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { AdviceTerms } from '../../records/Cell'
import { LeaderSubject } from '../../testing/LeaderSubject'
import { jobOf } from '../../testing/samples'

const ID = '00000000000000aa'

/** @returns how many workers the first question about a step of four tasks names, of 80 empty workers. */
function namedIn(advice: AdviceTerms): number {
	const subject = new LeaderSubject({ advice })
	for (let number = 0; number < 80; number++) subject.heartbeat(`w${number}`)
	subject.submit(ID, jobOf({ count: 4 }))
	const [{ question }] = subject.questions
	assert.equal(new Set(question.workers).size, question.workers.length)
	return question.workers.length
}

test('where each worker costs much, few are named', () => {
	const few = namedIn({ base: 40, each: 10, valid: 2000 })
	assert.ok(few < 10, `${few} named`)
})

test('where all cost little, all are named, up to what the service takes', () => {
	assert.equal(namedIn({ base: 570, each: 1, valid: 2000 }), 80)
})

/** Workers that a question about a few tasks may look at, however many there are. */
const MOST_LOOKED_AT = 600
const THOUSANDS = 3000

// Guards against questions whose cost grows with the workers.
test('where thousands of workers have room, a question looks at some hundreds of them', () => {
	const subject = new LeaderSubject({ advice: { base: 30, each: 0.3, valid: 2000 } })
	for (let number = 0; number < THOUSANDS; number++) subject.heartbeat(`w${number}`)
	let looks = 0
	for (const account of subject.ledger.all()) {
		const { free } = account
		Object.defineProperty(account, 'free', {
			get: () => {
				looks += 1
				return free
			},
		})
	}
	subject.submit(ID, jobOf({ count: 4 }))
	assert.ok(subject.questions.length > 0)
	assert.ok(looks <= MOST_LOOKED_AT, `${looks} looks`)
})

// Guards against work that is spread over all workers: each that runs something holds connections and is polled.
test('where thousands of workers have room, steps ask about the same few of them', () => {
	const subject = new LeaderSubject({ advice: { base: 30, each: 0.3, valid: 2000 } })
	subject.instances = Array.from({ length: 40 }, (_, number) => `instance-${number}`)
	for (let number = 0; number < THOUSANDS; number++) subject.heartbeat(`w${number}`)
	for (let number = 1; number <= 40; number++) {
		subject.submit(number.toString(16).padStart(16, '0'), jobOf({ count: 4 }))
	}
	const asked = new Set(subject.questions.flatMap(({ question }) => question.workers))
	assert.equal(subject.questions.length, 40)
	assert.ok(asked.size <= 40, `${asked.size} workers`)
})
