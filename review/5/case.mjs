/**
 * A manifest moves a queue to another service, and later one worker of the old service leaves as
 * planned. It alone there has the label that a job with a task that lasts requires; the new service
 * has two such workers. Does the task run on one of these?
 */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { BOUNDS } from '../lib-2/cell.mjs'
import { firstBreak } from '../lib-2/lasting.mjs'
import { sleep } from '../lib-2/record.mjs'
import { runCase } from '../lib-2/runCase.mjs'
import { Worker } from '../lib-2/worker.mjs'

const OLD = 'huvo11a'
const NEW = 'kemi42c'
const OLD_WORKERS = 16
const NEW_WORKERS = 4
const WATCH_MS = 30_000
const JOB = '00000000000000a1'
const TASK = `${JOB}.0.0.0`

const routeTo = (service) => ({
	name: 'watch',
	host: 'nony24.example',
	pathPrefix: '/watch/',
	kind: 'non_idempotent',
	timeoutMs: 3000,
	targetLatencyMs: 1000,
	priority: 1,
	service,
	maxAttempts: 3,
	extension: 2,
})

await runCase(
	dirname(fileURLToPath(import.meta.url)),
	async ({ cell, record, trouble, workers }) => {
		await cell.configure(1, [routeTo(OLD)], OLD, NEW)
		for (let number = 0; number < OLD_WORKERS + NEW_WORKERS; number++) {
			const isOld = number < OLD_WORKERS
			const isLabelled = number === 0 || (!isOld && number < OLD_WORKERS + 2)
			const worker = new Worker(
				{
					id: `i-${number}`,
					service: isOld ? OLD : NEW,
					zone: ['vake', 'saburtalo', 'isani'][number % 3],
					labels: [isLabelled ? 'b' : 'a', `r1-${number}`],
					cpu: 16_000,
					memMb: 32_768,
					control: cell.control,
					ip: '127.0.0.1',
					work: () => ({ ms: Number.POSITIVE_INFINITY }),
				},
				record
			)
			workers.push(worker)
			await worker.start()
		}
		const steps = [
			{ count: 1, cpu: 1000, memMb: 256, estMs: 400, longRunning: true, requires: 'b' },
		]
		const accepted = await cell.submit(`/watch/${JOB}`, { spec: 'watch', steps })
		if (!accepted) throw new Error('the job was not accepted')
		const [leaving] = workers
		for (let turn = 0; !leaving.runs.has(TASK); turn++) {
			if (turn > 100) throw new Error('the task that lasts did not start')
			await sleep(100)
		}
		await sleep(2000)
		if (trouble) {
			await cell.configure(2, [routeTo(NEW)], OLD, NEW)
			await sleep(BOUNDS.configApplyMs + 2000)
			await leaving.leave()
		}
		const calmFrom = record.now
		await sleep(WATCH_MS)
		const runs = workers.flatMap(({ history }) => history.filter(({ task }) => task === TASK))
		const open = workers.map((worker) => worker.runs.get(TASK)).find(Boolean)
		const at = firstBreak(open ? [...runs, { from: open.from }] : runs, calmFrom, record.now)
		const { body } = await cell.client('GET', `/watch/${JOB}`, undefined)
		record.add(`client: GET /watch/${JOB} -> ${JSON.stringify(body)}`)
		if (at === undefined) return ''
		return `LOST: ${TASK} had no run for 3 s at ${at} ms, and none until ${record.now} ms; its worker had left at ${calmFrom} ms`
	}
)
