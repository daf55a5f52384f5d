/**
 * A worker fails all that it starts for 6.5 s. It alone has the label that two jobs with tasks that
 * last require, which come meanwhile. When do these tasks run once it is sound again?
 */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { firstBreak } from '../lib-2/lasting.mjs'
import { sleep } from '../lib-2/record.mjs'
import { runCase } from '../lib-2/runCase.mjs'
import { Worker } from '../lib-2/worker.mjs'

const WORKERS = 12
const FAILS_FOR_MS = 6500
const WATCH_MS = 30_000
const LASTING_JOBS = ['00000000000000a1', '00000000000000a2']
const TASKS_A_JOB = 4
const TASKS = LASTING_JOBS.flatMap((id) =>
	Array.from({ length: TASKS_A_JOB }, (_, index) => `${id}.0.0.${index}`)
)

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
		for (let number = 0; number < WORKERS; number++) {
			const parts = {
				id: `i-${number}`,
				service: 'huvo11a',
				zone: ['vake', 'saburtalo', 'isani'][number % 3],
				labels: [number === 0 ? 'b' : 'a', `r1-${number}`],
				cpu: 16_000,
				memMb: 32_768,
				control: cell.control,
				ip: '127.0.0.1',
				work: (task) =>
					LASTING_JOBS.includes(task.slice(0, 16))
						? { ms: Number.POSITIVE_INFINITY }
						: { ms: 600, how: 'done' },
			}
			const worker = new Worker(parts, record)
			workers.push(worker)
			await worker.start()
		}
		await sleep(1000)
		// Other customers' work on all workers but the labelled one.
		const traffic = startTraffic(cell)
		await sleep(3000)
		const [labelled] = workers
		if (trouble) labelled.fail()
		const soundAt = record.now + FAILS_FOR_MS
		for (const id of LASTING_JOBS) {
			const steps = [
				{ count: TASKS_A_JOB, cpu: 1000, memMb: 256, estMs: 400, longRunning: true, requires: 'b' },
			]
			const accepted = await cell.submit(`/watch/${id}`, { spec: 'watch', steps })
			if (!accepted) throw new Error('a job was not accepted')
		}
		await sleep(soundAt - record.now)
		if (trouble) labelled.recover()
		const calmFrom = record.now
		await sleep(WATCH_MS)
		clearInterval(traffic)
		return breakOf(record, labelled, calmFrom)
	}
)

function startTraffic(cell) {
	let count = 0
	return setInterval(() => {
		const id = (0xb00000000000 + count++).toString(16).padStart(16, '0')
		const steps = [{ count: 4, cpu: 1000, memMb: 256, estMs: 600, requires: 'a' }]
		void cell.trySubmit(`/checks/${id}`, { spec: 'check', steps }, count)
	}, 250)
}

function breakOf(record, worker, calmFrom) {
	let broken = ''
	for (const task of TASKS) {
		const open = worker.runs.get(task)
		const runs = worker.history.filter((run) => run.task === task)
		const at = firstBreak(open ? [...runs, { from: open.from }] : runs, calmFrom, record.now)
		const gaps = runs.map(
			({ to }, index) => (runs[index + 1]?.from ?? open?.from ?? record.now) - to
		)
		record.add(
			`${task}: ${runs.length + (open ? 1 : 0)} runs, longest without one ${Math.max(0, ...gaps)} ms, LOST at ${at ?? '-'}`
		)
		if (at !== undefined)
			broken ||= `LOST: ${task} had no run for 3 s at ${at} ms, 6 s after its last; its worker was sound from ${calmFrom} ms`
	}
	return broken
}
