/**
 * A heartbeat of another writer has bytes that can't be read. The core must pass it over and go on:
 * accepted jobs are asked for after the traffic.
 */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Client, manifest, replaceManifest, route } from '../lib/client.mjs'
import { call } from '../lib/http.mjs'
import { pause } from '../lib/record.mjs'
import { runCase } from '../lib/runCase.mjs'
import { Worker } from '../lib/worker.mjs'

const WORK_MS = 2000
/** `finish_s` of the settings: jobs are asked for this long after the end of the traffic. */
const FINISH_MS = 14_000
const ASK_FOR_MS = 6000
/** Ends of processes in a day, with no disturbance there, that are a fault: "three times". */
const FAULT_ENDS = 3
const JOBS = 6

/** A heartbeat like any other, but for two bytes of its address that are no UTF-8. */
const FOREIGN = Buffer.concat([
	Buffer.from('{"service":"other-desk","address":"127.0.0.'),
	Buffer.from([0xc3, 0x28]),
	Buffer.from(
		':8080","zone":"vake","version":"v1","slots":8,"state":"ready","coldRemainingMs":0,' +
			'"capacity":{"cpu":1000,"memMb":1024,"gpu":0},"labels":["a","r1-9"],"seq":1}'
	),
])

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ cell, record, hasTrouble }) => {
	const breaks = []
	await cell.start()
	await cell.untilLed()
	const workers = ['i-7f3a91c2', 'i-0b52e6d4', 'i-51d0aa37'].map(
		(id, index) =>
			new Worker({
				id,
				service: 'huvo11a',
				zone: ['vake', 'saburtalo', 'isani'][index],
				rack: `r1-${index}`,
				control: cell.control,
				record,
				work: () => WORK_MS,
			})
	)
	for (const worker of workers) await worker.start()
	await replaceManifest(
		cell,
		record,
		manifest(7, [route('r-1', '/lohu930/', 'huvo11a')], ['huvo11a'])
	)
	await pause(2000)
	const client = new Client(cell, record)
	const paths = Array.from(
		{ length: JOBS },
		(_, index) => `/lohu930/5c0e7a21d94b36f${index.toString(16)}`
	)
	const job = { spec: 'x', steps: [{ count: 4, cpu: 1000, memMb: 64, estMs: WORK_MS }] }
	const accepted = paths.slice(0, JOBS / 2)
	for (const path of accepted) await client.submit(path, job)
	if (hasTrouble) await sendForeignHeartbeat(cell, record)
	for (const path of paths.slice(JOBS / 2)) {
		const { status } = await client.call('POST', path, job)
		if (status === 200) accepted.push(path)
	}
	await pause(FINISH_MS)

	for (const path of accepted) {
		const said = await askFor(client, record, path)
		if (said !== 'completed') breaks.push(`LOST: ${path} was accepted; asked for: ${said}`)
	}
	if (cell.ownEnds >= FAULT_ENDS)
		breaks.push(`Fault: processes ended by themselves ${cell.ownEnds} times`)
	for (const worker of workers) worker.stop()
	return breaks
})

async function sendForeignHeartbeat(cell, record) {
	const address = cell.control[1]
	const path = '/rillrudder/instances/other-writer-1/heartbeat'
	const { status } = await call({ address, method: 'POST', path, bytes: FOREIGN })
	record.add(`heartbeat of another writer to ${address}: ${status}; sent: ${FOREIGN.toString()}`)
}

/** Asks again and again, at both fronts. */
async function askFor(client, record, path) {
	const until = record.now + ASK_FOR_MS
	let said = 'no answer'
	while (record.now < until) {
		const { status, body } = await client.call('GET', path)
		if (status === 200) said = body.state
		else if (status > 0) said = `status ${status}`
		if (said === 'completed') break
		await pause(300)
	}
	return said
}
