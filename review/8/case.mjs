/**
 * The one worker of nine that has room is cut off for 8 s as twelve jobs come. None of them can
 * begin meanwhile. How many jobs does the queue give as pending?
 */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { BOUNDS } from '../lib-2/cell.mjs'
import { sleep } from '../lib-2/record.mjs'
import { runCase } from '../lib-2/runCase.mjs'
import { Worker } from '../lib-2/worker.mjs'

const WORKERS = 9
const CUT_MS = 8000
const JOBS = 12
/** A count may be 2 s old. */
const COUNT_AGE_MS = 2000
const FILL = '00000000000000a1'

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
		const begun = new Set()
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
					task.startsWith(FILL) ? { ms: Number.POSITIVE_INFINITY } : { ms: 20_000, how: 'done' },
				onStart: (_, { task }) => begun.add(task.slice(0, 16)),
			}
			const worker = new Worker(parts, record)
			workers.push(worker)
			await worker.start()
		}
		// Tasks that last fill all workers but one.
		const fill = [
			{ count: WORKERS - 1, cpu: 16_000, memMb: 256, estMs: 400, longRunning: true, requires: 'a' },
		]
		if (!(await cell.submit(`/watch/${FILL}`, { spec: 'fill', steps: fill })))
			throw new Error('not accepted')
		for (let turn = 0; workers.filter(({ runs }) => runs.size > 0).length < WORKERS - 1; turn++) {
			if (turn > 100) throw new Error('the workers were not filled')
			await sleep(100)
		}
		await sleep(2000)
		const [free] = workers
		if (trouble) free.cut()
		const cutAt = record.now
		const steps = [{ count: 1, cpu: 1000, memMb: 256, estMs: 20_000 }]
		const ids = Array.from({ length: JOBS }, (_, number) =>
			(0xb00000000000 + number).toString(16).padStart(16, '0')
		)
		const accepted = new Map()
		await Promise.all(
			ids.map(async (id, number) => {
				const { status } = await cell.client(
					'POST',
					`/checks/${id}`,
					{ spec: 'check', steps },
					number
				)
				record.add(`client: POST /checks/${id} -> ${status}`)
				if (status === 200) accepted.set(id, record.now)
			})
		)
		if (accepted.size < JOBS) throw new Error('not all jobs were accepted')
		let broken = ''
		while (record.now < cutAt + CUT_MS - 100) {
			await sleep(200)
			const asked = record.now
			const front = asked % 2
			const { status, body } = await cell.client('GET', '/checks/', undefined, front)
			const due = asked - BOUNDS.visible_ms - COUNT_AGE_MS
			const waiting = ids.filter((id) => accepted.get(id) < due && !begun.has(id)).length
			record.add(
				`client: GET /checks/ -> ${status} ${JSON.stringify(body)}; ${waiting} jobs accepted over 5 s before have not begun`
			)
			if (status === 200 && waiting === JOBS && body.pending < JOBS / 2) {
				broken ||= `MIXED: ${body.pending} jobs given as pending at ${asked} ms, ${waiting} accepted over 5 s before had not begun`
			}
		}
		if (trouble) free.heal()
		for (let turn = 0; turn < 100 && begun.size < JOBS + 1; turn++) await sleep(100)
		record.add(
			`${ids.filter((id) => begun.has(id)).length} of ${JOBS} jobs had begun at ${record.now} ms`
		)
		return broken
	}
)
