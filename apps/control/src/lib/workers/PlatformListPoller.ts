/** Polls the platform's list of workers. */
import type { ListedWorker } from '@rillrudder/cell'
import type { Endpoint } from '@rillrudder/settings'
import type { Log } from '@rillrudder/telemetry'
import type { Clock, Timer } from '@rillrudder/utils'
import { requestJson } from '@rillrudder/web'
import { z } from 'zod'

const LIST_PATH = '/v1/workers'
const POLL_INTERVAL_MS = 500
const TIMEOUT_MS = 2000

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
 * Polls the platform's list of workers while this process leads a group.
 *
 * @internal
 */
export class PlatformListPoller {
	private timer: Timer | undefined
	private isReading = false
	private isReadable = true

	constructor(
		private readonly platform: Endpoint,
		private readonly clock: Clock,
		private readonly log: Log,
		/** Whether any controller in this process needs the list. */
		private readonly isWanted: () => boolean,
		private readonly onList: (workers: readonly ListedWorker[]) => void
	) {}

	start(): void {
		void this.read()
		this.timer = this.clock.every(POLL_INTERVAL_MS, () => void this.read())
	}

	stop(): void {
		this.timer?.cancel()
	}

	private async read(): Promise<void> {
		if (this.isReading || !this.isWanted()) return
		this.isReading = true
		const { host, port } = this.platform
		const reply = await requestJson({
			host,
			port,
			method: 'GET',
			path: LIST_PATH,
			timeout: TIMEOUT_MS,
		})
		this.isReading = false
		const parsed = reply.ok ? listSchema.safeParse(reply.value.body) : undefined
		this.logReadable(parsed?.success === true)
		if (parsed?.success) this.onList(parsed.data.workers)
	}

	/** Logs when the list becomes readable or unreadable. */
	private logReadable(readable: boolean): void {
		if (readable === this.isReadable) return
		this.isReadable = readable
		if (readable) this.log.info('platform-list-readable')
		else this.log.warn('platform-list-unreadable')
	}
}
