import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { Random } from '@rillrudder/utils'
import { WorkerSpeeds } from './WorkerSpeeds'

const WORKERS = 60
/** Tasks that each worker completes per second. */
const TASKS_A_SECOND = 2
/** Tasks per step. */
const STEP_WIDTH = 20
const SECOND_MS = 1000

interface Load {
	readonly seed: number
	/** Returns the speed of a worker, by its number, in a given second of the load. */
	readonly speed: (worker: number, second: number) => number
	/** Factor of the sizes of all steps. */
	readonly scale?: number
}

const quarterSlow = (worker: number): number => (worker % 4 === 0 ? 0.55 : 1.2)

/**
 * Records steps of unknown size, whose tasks differ by 30% among themselves, on workers chosen at
 * random.
 */
function simulateLoad(
	speeds: WorkerSpeeds,
	{ seed, speed, scale = 1 }: Load,
	from: number,
	to: number
): void {
	const random = new Random(seed + from)
	for (let second = from; second < to; second++) {
		const steps = Math.ceil((WORKERS * TASKS_A_SECOND) / STEP_WIDTH)
		for (let step = 0; step < steps; step++) {
			const group = `${second}.${step}`
			const size = scale * 2000 * (0.1 + 1.8 * random.fraction())
			for (let index = 0; index < STEP_WIDTH; index++) {
				const worker = random.integer(0, WORKERS - 1)
				const own = 0.7 + 0.6 * random.fraction()
				const took = (size * own) / speed(worker, second)
				const at = second * SECOND_MS + (SECOND_MS * step) / steps
				speeds.record({ group, task: `${group}.${index}` }, `w${worker}`, took, at)
			}
		}
		speeds.update(WORKERS, (second + 1) * SECOND_MS)
	}
}

/**
 * Measures the estimates on seeded fleets.
 *
 * @returns the shares of workers whose estimate is within 15% of the real speed, of fast workers
 * that count as slow, and of slow workers that count as slow.
 */
function accuracy(seeds: number, seconds: number): { near: number; wrong: number; found: number } {
	let near = 0
	let wrong = 0
	let found = 0
	for (let seed = 1; seed <= seeds; seed++) {
		const speeds = new WorkerSpeeds()
		simulateLoad(speeds, { seed, speed: quarterSlow }, 0, seconds)
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

test('with a quarter of the workers at 0.55, 90% of estimates are within 15% after 3 s and at most 1% wrongly slow', () => {
	const { near, wrong, found } = accuracy(40, 3)
	assert.ok(near >= 0.9, `${near} within 15%`)
	assert.ok(wrong <= 0.01, `${wrong} wrongly slow`)
	assert.ok(found >= 0.9, `${found} of the slow ones found`)
})

test('the spread is not wide for speeds of 0.8, 1 and 1.25, or for equal speeds', () => {
	for (let seed = 1; seed <= 20; seed++) {
		for (const speed of [(worker: number) => [0.8, 1, 1.25][worker % 3], () => 1]) {
			const speeds = new WorkerSpeeds()
			for (let second = 0; second < 20; second++) {
				simulateLoad(speeds, { seed, speed }, second, second + 1)
				assert.equal(speeds.spread.isWide, false, `seed ${seed}, ${speeds.spread.share}`)
				assert.equal(speeds.speedOf('w0'), 1)
			}
		}
	}
})

test('a worker that becomes slow counts as slow within 4 s, and no longer once it is fast again', () => {
	for (let seed = 1; seed <= 10; seed++) {
		const speeds = new WorkerSpeeds()
		const speed = (worker: number, second: number): number =>
			worker === 1 && second >= 10 && second < 20 ? 0.45 : quarterSlow(worker)
		simulateLoad(speeds, { seed, speed }, 0, 10)
		assert.equal(speeds.isSlow('w1'), false)
		simulateLoad(speeds, { seed, speed }, 10, 14)
		assert.equal(speeds.isSlow('w1'), true, `seed ${seed}`)
		simulateLoad(speeds, { seed, speed }, 14, 30)
		assert.equal(speeds.isSlow('w1'), false, `seed ${seed}`)
	}
})

test('the estimate of a worker without work expires, and that of an ended incarnation is dropped at once', () => {
	const speeds = new WorkerSpeeds()
	simulateLoad(speeds, { seed: 1, speed: quarterSlow }, 0, 5)
	assert.ok(speeds.find('w0'))
	speeds.forget('w0')
	assert.equal(speeds.find('w0'), undefined)
	assert.equal(speeds.speedOf('w0'), 1)
	speeds.update(WORKERS, 60 * SECOND_MS)
	assert.equal(speeds.find('w1'), undefined)
	assert.equal(speeds.spread.isWide, false)
})

test('a step whose tasks are all on one worker is no evidence of its speed', () => {
	const speeds = new WorkerSpeeds()
	for (let index = 0; index < STEP_WIDTH; index++) {
		speeds.record({ group: 'g', task: `g.${index}` }, 'w1', 5000, 0)
	}
	speeds.update(1, 100)
	assert.equal(speeds.find('w1'), undefined)
})

test('the estimated speeds do not depend on the size of the steps', () => {
	fc.assert(
		fc.property(
			fc.integer({ min: 1, max: 1000 }),
			fc.double({ min: 0.1, max: 10 }),
			(seed, scale) => {
				if (Number.isNaN(scale)) return
				const plain = new WorkerSpeeds()
				const scaled = new WorkerSpeeds()
				simulateLoad(plain, { seed, speed: quarterSlow }, 0, 3)
				simulateLoad(scaled, { seed, speed: quarterSlow, scale }, 0, 3)
				for (let worker = 0; worker < WORKERS; worker++) {
					const [left, right] = [plain, scaled].map((one) => one.find(`w${worker}`)?.log ?? 0)
					assert.ok(Math.abs(left - right) < 1e-6)
				}
			}
		),
		{ numRuns: 20, seed: 7 }
	)
})
