/** The fake workers and the platform as a process of their own, for cells of real processes. */
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { FakeFleet, TODAYS_WORKERS } from '@rillrudder/demo'
import { SystemClock } from '@rillrudder/utils'

const DATA_CENTRES = ['isani', 'saburtalo', 'vake']
const [latency, seed] = process.argv.slice(2).map(Number)

async function main(): Promise<void> {
	const plan = { ...TODAYS_WORKERS, dataCentres: DATA_CENTRES, latency, seed, lag: 500 }
	const fleet = new FakeFleet(plan, new SystemClock())
	await fleet.start()
	const server = createServer((_request, response) => {
		response.end(JSON.stringify(Object.fromEntries(fleet.runsByKey())))
	})
	server.listen(0, '127.0.0.1', () => {
		const runs = `127.0.0.1:${(server.address() as AddressInfo).port}`
		const worker = fleet.workerAddress
		process.stdout.write(`${JSON.stringify({ platform: fleet.platformAddress, runs, worker })}\n`)
	})
}

void main()
