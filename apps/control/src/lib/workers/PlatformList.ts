/** Reads the platform's list of workers again and again. */
import type { ListedWorker } from '@rillrudder/cell'
import type { Endpoint } from '@rillrudder/settings'
import type { Log } from '@rillrudder/telemetry'
import type { Clock, Timer } from '@rillrudder/utils'
import { requestJson } from '@rillrudder/web'
import { z } from 'zod'

const LIST_PATH = '/v1/workers'
const EVERY = 500
const TIMEOUT = 2000

const listSchema = z.object({
	workers: z.array(
		z.object({
			id: z.string(),
			address: z.string(),
			dataCentre: z.string(),
			rack: z.string(),
			state: z.enum(['live', 'leaving']),
			capacity: z.object({ cpu: z.number(), memory: z.number(), accelerators: z.number() }),
		})
	),
})

/**
 * The platform's list.
 *
 * @internal
 */
export class PlatformList {
	private timer: Timer | undefined
	private reading = false
	private readable = true

	constructor(
		private readonly platform: Endpoint,
		private readonly clock: Clock,
		private readonly log: Log,
		/** Whether anybody here decides with the list. */
		private readonly wanted: () => boolean,
		private readonly take: (workers: readonly ListedWorker[]) => void
	) {}

	start(): void {
		void this.read()
		this.timer = this.clock.every(EVERY, () => void this.read())
	}

	stop(): void {
		this.timer?.cancel()
	}

	private async read(): Promise<void> {
		if (this.reading || !this.wanted()) return
		this.reading = true
		const { host, port } = this.platform
		const reply = await requestJson({
			host,
			port,
			method: 'GET',
			path: LIST_PATH,
			timeout: TIMEOUT,
		})
		this.reading = false
		const parsed = reply.ok ? listSchema.safeParse(reply.value.body) : undefined
		this.note(parsed?.success === true)
		if (parsed?.success) this.take(parsed.data.workers)
	}

	private note(readable: boolean): void {
		if (readable === this.readable) return
		this.readable = readable
		if (readable) this.log.info('platform-list-readable')
		else this.log.warn('platform-list-unreadable')
	}
}
