/** Tests how many workers a question names: as many as needed, or all of them if that is cheap. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { AdviceTerms } from '../../records/Cell'
import { LeaderSubject } from '../../testing/LeaderSubject'
import { jobOf } from '../../testing/samples'

const ID = '00000000000000aa'

/** @returns how many of 80 empty workers the first question about a step of four tasks names. */
function namedIn(advice: AdviceTerms): number {
	const subject = new LeaderSubject({ advice })
	for (let number = 0; number < 80; number++) subject.heartbeat(`w${number}`)
	subject.submit(ID, jobOf({ count: 4 }))
	const [{ question }] = subject.questions
	assert.equal(new Set(question.workers).size, question.workers.length)
	return question.workers.length
}

test('few workers are named if each one is expensive', () => {
	const few = namedIn({ base: 40, each: 10, valid: 2000 })
	assert.ok(few < 10, `${few} named`)
})

test('all workers are named if that is cheap, up to the limit of the service', () => {
	assert.equal(namedIn({ base: 570, each: 1, valid: 2000 }), 80)
})

/** Maximum number of worker capacities that a question about a few tasks may read. */
const MAX_READS = 600
const MANY_WORKERS = 3000

// Guards against questions whose cost grows with the number of workers.
test('a question considers a few hundred workers although thousands have free capacity', () => {
	const subject = new LeaderSubject({ advice: { base: 30, each: 0.3, valid: 2000 } })
	for (let number = 0; number < MANY_WORKERS; number++) subject.heartbeat(`w${number}`)
	let reads = 0
	for (const account of subject.ledger.all()) {
		const { free } = account
		Object.defineProperty(account, 'free', {
			get: () => {
				reads += 1
				return free
			},
		})
	}
	subject.submit(ID, jobOf({ count: 4 }))
	assert.ok(subject.questions.length > 0)
	assert.ok(reads <= MAX_READS, `${reads} reads`)
})

// Guards against work spread over all workers: each busy worker holds connections and is polled.
test('steps ask about the same few workers although thousands have free capacity', () => {
	const subject = new LeaderSubject({ advice: { base: 30, each: 0.3, valid: 2000 } })
	subject.instances = Array.from({ length: 40 }, (_, number) => `instance-${number}`)
	for (let number = 0; number < MANY_WORKERS; number++) subject.heartbeat(`w${number}`)
	for (let number = 1; number <= 40; number++) {
		subject.submit(number.toString(16).padStart(16, '0'), jobOf({ count: 4 }))
	}
	const asked = new Set(subject.questions.flatMap(({ question }) => question.workers))
	assert.equal(subject.questions.length, 40)
	assert.ok(asked.size <= 40, `${asked.size} workers`)
})
