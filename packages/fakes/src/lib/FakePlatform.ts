/** The platform's list of workers, which lags behind what is so. */
import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { Clock } from '@rillrudder/utils'
import type { Amount } from './WorkerModel'

/** Path of the list. @public */
export const LIST_PATH = '/v1/workers'

/** A worker in the list. @public */
export interface PlatformWorker {
	readonly id: string
	readonly address: string
	readonly dataCentre: string
	readonly rack: string
	readonly state: 'live' | 'leaving'
	readonly capacity: Amount
}

/**
 * The platform.
 *
 * @public
 */
export class FakePlatform {
	private readonly server: Server
	private shown: PlatformWorker[] = []

	/**
	 * @param clock - measures the lag.
	 * @param lag - milliseconds until a change is shown.
	 */
	constructor(
		private readonly clock: Clock,
		private readonly lag: number
	) {
		this.server = createServer((_request, response) => {
			response.writeHead(200, { 'content-type': 'application/json' })
			response.end(JSON.stringify({ workers: this.shown }))
		})
	}

	/** Changes what is so; the list shows it later. */
	set(workers: readonly PlatformWorker[]): void {
		const copy = [...workers]
		if (this.lag === 0) this.shown = copy
		else this.clock.after(this.lag, () => (this.shown = copy))
	}

	/** @returns its address, host and port. */
	async listen(port = 0): Promise<string> {
		await new Promise<void>((resolve) => this.server.listen(port, '127.0.0.1', resolve))
		return `127.0.0.1:${(this.server.address() as AddressInfo).port}`
	}

	/** Stops. */
	close(): void {
		this.server.closeAllConnections()
		this.server.close()
	}
}
