/**
 * A worker whose steady clock is slow has been idle; then it gets a run, its leader is killed and it
 * is cut off. The next leader must wait until the worker's lease is over.
 */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Client, manifest, replaceManifest, route } from '../lib/client.mjs'
import { pause } from '../lib/record.mjs'
import { runCase } from '../lib/runCase.mjs'
import { Worker } from '../lib/worker.mjs'

const IDLE_MS = 75_000
const WORK_MS = 15_000
const WATCH_MS = 13_000
/** The users' page: the steady clock of a worker "may be 2% slow". */
const SLOW_CLOCK = 0.98
const JOB = '/lohu930/5c0e7a21d94b36f8'

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ cell, record, hasTrouble }) => {
	const breaks = []
	const running = new Map()
	const onRun = (how, run) => {
		const { task, worker } = run
		const runs = running.get(task) ?? new Set()
		running.set(task, runs)
		if (how !== 'started') return void runs.delete(run)
		for (const other of runs)
			breaks.push(`TWICE: ${task} starts on ${worker} while it runs on ${other.worker}`)
		runs.add(run)
	}

	await cell.start()
	const leader = await cell.untilLed()
	record.add(`${cell.cores[leader].name} leads`)
	const others = cell.control.filter((_, index) => index !== leader)
	const control = [...others, cell.control[leader]]
	const workers = ['i-7f3a91c2', 'i-0b52e6d4'].map(
		(id, index) =>
			new Worker({
				id,
				service: 'huvo11a',
				zone: ['vake', 'saburtalo'][index],
				rack: `r1-${index}`,
				control,
				record,
				work: () => WORK_MS,
				clockRate: SLOW_CLOCK,
				onRun,
			})
	)
	for (const worker of workers) await worker.start()
	await replaceManifest(
		cell,
		record,
		manifest(7, [route('r-1', '/lohu930/', 'huvo11a')], ['huvo11a'])
	)
	await pause(IDLE_MS)
	if ((await cell.leader()) !== leader) throw new Error('the leader has changed by itself')

	const client = new Client(cell, record)
	await client.submit(JOB, {
		spec: 'one task',
		steps: [{ count: 1, cpu: 1000, memMb: 256, estMs: WORK_MS }],
	})
	const first = await untilSome(() => workers.find(({ runs }) => runs.size > 0))
	if (hasTrouble) {
		cell.kill(cell.cores[leader])
		first.isCut = true
		record.add(`worker ${first.id} is cut off from all machines of the core and runs on`)
	}
	await pause(WATCH_MS)
	for (const worker of workers) worker.stop()
	return breaks
})

async function untilSome(find) {
	for (let tries = 0; tries < 1000; tries++) {
		const found = find()
		if (found) return found
		await pause(5)
	}
	throw new Error('the task did not start')
}
