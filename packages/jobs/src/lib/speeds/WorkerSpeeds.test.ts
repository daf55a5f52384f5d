import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { Random } from '@rillrudder/utils'
import { WorkerSpeeds } from './WorkerSpeeds'

const WORKERS = 60
/** Tasks that each worker ends in a second, and tasks of a step. */
const TASKS_A_SECOND = 2
const WIDTH = 20
const SECOND = 1000

interface Load {
	readonly seed: number
	/** Speed of a worker by its number, at a second of the load. */
	readonly speed: (worker: number, second: number) => number
	/** What the declared time of a step is multiplied by; the size that its tasks have is its own. */
	readonly scale?: number
}

const quarterSlow = (worker: number): number => (worker % 4 === 0 ? 0.55 : 1.2)

/** Steps whose size nobody knows, with tasks that differ by 30% among themselves, on workers chosen at random. */
function play(
	speeds: WorkerSpeeds,
	{ seed, speed, scale = 1 }: Load,
	from: number,
	to: number
): void {
	const random = new Random(seed + from)
	for (let second = from; second < to; second++) {
		const steps = Math.ceil((WORKERS * TASKS_A_SECOND) / WIDTH)
		for (let step = 0; step < steps; step++) {
			const group = `${second}.${step}`
			const size = scale * 2000 * (0.1 + 1.8 * random.fraction())
			for (let index = 0; index < WIDTH; index++) {
				const worker = random.integer(0, WORKERS - 1)
				const own = 0.7 + 0.6 * random.fraction()
				const took = (size * own) / speed(worker, second)
				const at = second * SECOND + (SECOND * step) / steps
				speeds.record({ group, task: `${group}.${index}` }, `w${worker}`, took, at)
			}
		}
		speeds.update(WORKERS, (second + 1) * SECOND)
	}
}

/** How many workers of seeded fleets are within a share of their speed, and how many are wrongly called slow. */
function accuracy(seeds: number, seconds: number): { near: number; wrong: number; found: number } {
	let near = 0
	let wrong = 0
	let found = 0
	for (let seed = 1; seed <= seeds; seed++) {
		const speeds = new WorkerSpeeds()
		play(speeds, { seed, speed: quarterSlow }, 0, seconds)
		for (let worker = 0; worker < WORKERS; worker++) {
			const real = quarterSlow(worker) / 1.2
			if (Math.abs(speeds.speedOf(`w${worker}`) / real - 1) <= 0.15) near += 1
			if (!speeds.isSlow(`w${worker}`)) continue
			if (real < 1) found += 1
			else wrong += 1
		}
	}
	const all = seeds * WORKERS
	return { near: near / all, wrong: wrong / (all * 0.75), found: found / (all * 0.25) }
}

test('a quarter at 0.55: nine in ten within 15% after 3 s of work, none in a hundred wrongly slow', () => {
	const { near, wrong, found } = accuracy(40, 3)
	assert.ok(near >= 0.9, `${near} within 15%`)
	assert.ok(wrong <= 0.01, `${wrong} wrongly slow`)
	assert.ok(found >= 0.9, `${found} of the slow ones found`)
})

test('speeds of 0.8, 1 and 1.25, or all alike, are not heeded', () => {
	for (let seed = 1; seed <= 20; seed++) {
		for (const speed of [(worker: number) => [0.8, 1, 1.25][worker % 3], () => 1]) {
			const speeds = new WorkerSpeeds()
			for (let second = 0; second < 20; second++) {
				play(speeds, { seed, speed }, second, second + 1)
				assert.equal(speeds.spread.isSignificant, false, `seed ${seed}, ${speeds.spread.share}`)
				assert.equal(speeds.speedOf('w0'), 1)
			}
		}
	}
})

test('a worker that turns slow is called so within 4 s, and no longer once it is fast again', () => {
	for (let seed = 1; seed <= 10; seed++) {
		const speeds = new WorkerSpeeds()
		const speed = (worker: number, second: number): number =>
			worker === 1 && second >= 10 && second < 20 ? 0.45 : quarterSlow(worker)
		play(speeds, { seed, speed }, 0, 10)
		assert.equal(speeds.isSlow('w1'), false)
		play(speeds, { seed, speed }, 10, 14)
		assert.equal(speeds.isSlow('w1'), true, `seed ${seed}`)
		play(speeds, { seed, speed }, 14, 30)
		assert.equal(speeds.isSlow('w1'), false, `seed ${seed}`)
	}
})

test('what is known of a worker without work is forgotten, and a life that is over at once', () => {
	const speeds = new WorkerSpeeds()
	play(speeds, { seed: 1, speed: quarterSlow }, 0, 5)
	assert.ok(speeds.find('w0'))
	speeds.forget('w0')
	assert.equal(speeds.find('w0'), undefined)
	assert.equal(speeds.speedOf('w0'), 1)
	speeds.update(WORKERS, 60 * SECOND)
	assert.equal(speeds.find('w1'), undefined)
	assert.equal(speeds.spread.isSignificant, false)
})

test('tasks of a step that are all on one worker tell nothing of it', () => {
	const speeds = new WorkerSpeeds()
	for (let index = 0; index < WIDTH; index++) {
		speeds.record({ group: 'g', task: `g.${index}` }, 'w1', 5000, 0)
	}
	speeds.update(1, 100)
	assert.equal(speeds.find('w1'), undefined)
})

test('however large the steps are, the speeds are the same', () => {
	fc.assert(
		fc.property(
			fc.integer({ min: 1, max: 1000 }),
			fc.double({ min: 0.1, max: 10 }),
			(seed, scale) => {
				if (Number.isNaN(scale)) return
				const plain = new WorkerSpeeds()
				const scaled = new WorkerSpeeds()
				play(plain, { seed, speed: quarterSlow }, 0, 3)
				play(scaled, { seed, speed: quarterSlow, scale }, 0, 3)
				for (let worker = 0; worker < WORKERS; worker++) {
					const [left, right] = [plain, scaled].map((one) => one.find(`w${worker}`)?.log ?? 0)
					assert.ok(Math.abs(left - right) < 1e-6)
				}
			}
		),
		{ numRuns: 20, seed: 7 }
	)
})
