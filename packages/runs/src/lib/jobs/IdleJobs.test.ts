import assert from 'node:assert/strict'
import { test } from 'node:test'
import { DEFAULT_STEP, JobState, type JobRecord, type JobRequest } from '@rillrudder/jobs'
import { ManualClock } from '@rillrudder/utils'
import type { SubmittedJob } from './checkOutcome'
import type { RoomyMachine } from './FleetRoom'
import { IdleJobs } from './IdleJobs'

const NEED = { cpu: 1000, memory: 100, accelerators: 0 }
const STEP = { ...DEFAULT_STEP, count: 1, need: NEED }
const GRACE_MS = 14_000
const ID = '00000000000000aa'

/** A run of one job of two steps, one after the other. */
class Scene {
	readonly clock = new ManualClock()
	readonly job: SubmittedJob
	readonly done = new Set<string>()
	readonly live = new Set<string>()
	lossAt = Number.NEGATIVE_INFINITY
	state: JobState = JobState.Running
	usedCpu = 0
	isAllowed = true
	readonly idle: IdleJobs

	constructor(request: Partial<JobRequest> = {}) {
		const steps = [STEP, { ...STEP, dependsOn: [0] }]
		this.job = {
			id: ID,
			request: { spec: 'text', steps, ...request },
			isAccepted: true,
			unansweredCalls: 0,
			isRefused: false,
			refusals: 0,
			isUncertain: false,
			isCancelRequested: false,
			isCancelled: false,
		}
		this.idle = new IdleJobs({
			clock: this.clock,
			invariants: {
				isDoneForGood: (task) => this.done.has(task),
				liveRuns: (task) => (this.live.has(task) ? 1 : 0),
				lastLossAt: () => this.lossAt,
			},
			submitted: new Map([[ID, this.job]]),
			machinesUp: () => [this.machine()],
			recordOf: () => ({ state: this.state }) as JobRecord,
			isAllowed: () => this.isAllowed,
		})
	}

	/** Watches for a number of milliseconds. @returns the first tasks of the jobs left so far. */
	watch(span: number): string[] {
		for (let spent = 0; spent < span; spent += 100) {
			this.clock.advance(100)
			this.idle.observe()
		}
		return this.idle.left.map(({ task }) => task)
	}

	private machine(): RoomyMachine {
		const capacity = { cpu: 4000, memory: 8000, accelerators: 0 }
		const used = { cpu: this.usedCpu, memory: 0, accelerators: 0 }
		return { worker: { id: 'w', rack: 'r0', labels: [], capacity }, used }
	}
}

test('a job that is left for three seconds after the grace breaks the rule', () => {
	const scene = new Scene()
	assert.deepEqual(scene.watch(GRACE_MS + 2900), [])
	scene.idle.check()
	assert.deepEqual(scene.watch(100), [`${ID}.0.0.0`])
	assert.throws(() => scene.idle.check(), /no job is left without a run while there is room/)
})

test('a run in between starts the time anew', () => {
	const scene = new Scene()
	scene.watch(GRACE_MS + 2000)
	scene.live.add(`${ID}.0.1.0`)
	scene.watch(100)
	scene.live.clear()
	assert.deepEqual(scene.watch(3000), [])
	assert.deepEqual(scene.watch(100), [`${ID}.0.0.0`])
})

test('the next step counts once the steps before it are done', () => {
	const scene = new Scene()
	scene.done.add(`${ID}.0.0.0`)
	assert.deepEqual(scene.watch(GRACE_MS + 3000), [`${ID}.0.1.0`])
})

test('a repeat counts once it is due', () => {
	const scene = new Scene()
	const first = scene.clock.date().getTime() + GRACE_MS + 5000
	const later = new Scene({ repeat: { count: 1, first, interval: 0 } })
	assert.deepEqual(later.watch(GRACE_MS + 7900), [])
	assert.deepEqual(later.watch(200), [`${ID}.0.0.0`])
})

test('a job that has just lost a run by a crash has its grace anew', () => {
	const scene = new Scene()
	scene.lossAt = 10_000
	assert.deepEqual(scene.watch(10_000 + GRACE_MS + 2900), [])
	assert.deepEqual(scene.watch(100), [`${ID}.0.0.0`])
})

const ALLOWED: readonly (readonly [string, (scene: Scene) => void])[] = [
	['a job without room', (scene) => (scene.usedCpu = 3000)],
	['a job beside a fleet half in use', (scene) => (scene.usedCpu = 2000)],
	['a job that the advice lets nowhere', (scene) => (scene.isAllowed = false)],
	['a job that has ended', (scene) => (scene.state = JobState.Failed)],
	['a job that is being cancelled', (scene) => (scene.job.isCancelRequested = true)],
	['a job that was not accepted', (scene) => (scene.job.isAccepted = false)],
]

for (const [name, change] of ALLOWED) {
	test(`${name} may have no run`, () => {
		const scene = new Scene()
		change(scene)
		assert.deepEqual(scene.watch(GRACE_MS + 10_000), [])
	})
}
