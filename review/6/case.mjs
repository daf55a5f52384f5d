/**
 * One of eight workers crashes for good just after it has started a task that lasts. Short tasks
 * of another queue start on all workers all the time. When does the task that lasts run again?
 */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { firstBreak } from '../lib-2/lasting.mjs'
import { sleep } from '../lib-2/record.mjs'
import { runCase } from '../lib-2/runCase.mjs'
import { Worker } from '../lib-2/worker.mjs'

const WORKERS = 8
const CRASH_AFTER_MS = 100
const WATCH_MS = 40_000
const LASTING_JOB = '00000000000000a1'
const TASK = `${LASTING_JOB}.0.0.0`

const route = (name, pathPrefix, priority) => ({
	name,
	host: 'nony24.example',
	pathPrefix,
	kind: 'non_idempotent',
	timeoutMs: 3000,
	targetLatencyMs: 1000,
	priority,
	service: 'huvo11a',
	maxAttempts: 3,
	extension: 2,
})

await runCase(
	dirname(fileURLToPath(import.meta.url)),
	async ({ cell, record, trouble, workers }) => {
		await cell.configure(
			1,
			[route('checks', '/checks/', 0), route('watch', '/watch/', 1)],
			'huvo11a'
		)
		let hasCrashed = false
		let crashedAt = 0
		for (let number = 0; number < WORKERS; number++) {
			const parts = {
				id: `i-${number}`,
				service: 'huvo11a',
				zone: ['vake', 'saburtalo', 'isani'][number % 3],
				labels: ['a', `r1-${number}`],
				cpu: 16_000,
				memMb: 32_768,
				control: cell.control,
				ip: '127.0.0.1',
				work: (task) =>
					task === TASK ? { ms: Number.POSITIVE_INFINITY } : { ms: 400, how: 'done' },
				onStart: (worker, { task }) => {
					if (task !== TASK || hasCrashed) return
					hasCrashed = true
					crashedAt = record.now + CRASH_AFTER_MS
					if (trouble) setTimeout(() => worker.crash(), CRASH_AFTER_MS)
				},
			}
			const worker = new Worker(parts, record)
			workers.push(worker)
			await worker.start()
		}
		await sleep(1000)
		const traffic = startTraffic(cell)
		await sleep(4000)
		const steps = [{ count: 1, cpu: 1000, memMb: 256, estMs: 400, longRunning: true }]
		if (!(await cell.submit(`/watch/${LASTING_JOB}`, { spec: 'watch', steps })))
			throw new Error('not accepted')
		for (let turn = 0; !hasCrashed; turn++) {
			if (turn > 100) throw new Error('the task that lasts did not start')
			await sleep(100)
		}
		let mostInUse = 0
		const until = record.now + WATCH_MS
		while (record.now < until) {
			await sleep(200)
			for (const { runs } of workers) mostInUse = Math.max(mostInUse, runs.size)
		}
		record.add(`at most ${mostInUse} of 16 cores of a worker were in use`)
		const runs = workers.flatMap(({ history }) => history.filter(({ task }) => task === TASK))
		const open = workers.map((worker) => worker.runs.get(TASK)).find(Boolean)
		const at = firstBreak(open ? [...runs, { from: open.from }] : runs, crashedAt, record.now)
		const { body } = await cell.client('GET', `/watch/${LASTING_JOB}`, undefined)
		record.add(`client: GET /watch/${LASTING_JOB} -> ${JSON.stringify(body)}`)
		clearInterval(traffic)
		const stoppedAt = record.now
		for (let turn = 0; turn < 50 && !workers.some((worker) => worker.runs.has(TASK)); turn++)
			await sleep(100)
		const again = workers.some((worker) => worker.runs.has(TASK))
		record.add(
			`the other work stopped at ${stoppedAt}; the task ${again ? 'runs' : 'does not run'} 5 s later at most`
		)
		if (at === undefined) return ''
		return `LOST: ${TASK} had no run for 3 s at ${at} ms, 6 s after its last; it had none until ${open?.from ?? stoppedAt} ms`
	}
)

/** Two tasks on each worker every 150 ms: about a third of the cores. */
function startTraffic(cell) {
	let count = 0
	return setInterval(() => {
		const id = (0xb00000000000 + count++).toString(16).padStart(16, '0')
		const steps = [{ count: 14, cpu: 1000, memMb: 256, estMs: 400, antiAffinity: 2 }]
		void cell.trySubmit(`/checks/${id}`, { spec: 'check', steps }, count)
	}, 150)
}
