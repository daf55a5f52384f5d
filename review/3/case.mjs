/**
 * A job is cancelled after a new manifest has dropped its route. The cancel is acknowledged, so its
 * tasks must end and none of them may start again.
 */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Client, manifest, replaceManifest, route } from '../lib/client.mjs'
import { pause } from '../lib/record.mjs'
import { runCase } from '../lib/runCase.mjs'
import { Worker } from '../lib/worker.mjs'

/** Bounds of the settings. */
const CONFIG_APPLY_MS = 2000
const CANCEL_MS = 3000
const STOP_MS = 200
const JOB = '/pufi791/5c0e7a21d94b36f8'
const SERVICE = 'huvo11a'

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ cell, record, hasTrouble }) => {
	const breaks = []
	const running = new Set()
	let cancelledAt = Number.POSITIVE_INFINITY
	const onRun = (how, run) => {
		if (how !== 'started') return void running.delete(run)
		running.add(run)
		if (record.now > cancelledAt + CANCEL_MS)
			breaks.push(`UNASKED: ${run.task} attempt ${run.attempt} starts after the cancel`)
	}

	await cell.start()
	await cell.untilLed()
	const workers = ['i-7f3a91c2', 'i-0b52e6d4', 'i-51d0aa37'].map(
		(id, index) =>
			new Worker({
				id,
				service: SERVICE,
				zone: ['vake', 'saburtalo', 'isani'][index],
				rack: `r1-${index}`,
				control: cell.control,
				record,
				work: () => undefined,
				onRun,
			})
	)
	for (const worker of workers) await worker.start()
	const kept = route('r-1', '/lohu930/', SERVICE)
	const dropped = route('r-2', '/pufi791/', SERVICE, { priority: 1, targetLatencyMs: 2500 })
	await replaceManifest(cell, record, manifest(7, [kept, dropped], [SERVICE]))
	await pause(2000)
	const client = new Client(cell, record)
	await client.submit(JOB, {
		spec: 'watch',
		steps: [{ count: 3, cpu: 1000, memMb: 256, estMs: 400, longRunning: true }],
	})
	await pause(3000)
	record.add(`${running.size} tasks are running`)
	if (running.size !== 3) throw new Error('the tasks do not run')

	if (hasTrouble) await replaceManifest(cell, record, manifest(9, [kept], [SERVICE]))
	await pause(CONFIG_APPLY_MS + 500)
	const { status } = await client.call('DELETE', JOB)
	if (status !== 200 && status !== 410) throw new Error('the cancel was not acknowledged')
	cancelledAt = record.now
	await pause(CANCEL_MS + STOP_MS + 500)
	for (const { task, worker } of running)
		breaks.push(
			`UNASKED: ${task} still runs on ${worker}, ${record.now - cancelledAt} ms after the cancel`
		)
	// A task that lasts "may fail at any time".
	const failing = [...running][0]
	if (failing) workers.find(({ id }) => id === failing.worker).end(failing, 'failed')
	await pause(3000)
	for (const worker of workers) worker.stop()
	return breaks
})
