/** Calls workers about their tasks and about attempts in doubt. */
import { Agent } from 'node:http'
import {
	exchangeReplySchema,
	settleReplySchema,
	type ExchangeReply,
	type SettleCall,
	type SettleReply,
	type WorkerExchange,
} from '@rillrudder/cell'
import { requestJson } from '@rillrudder/web'

const TASKS_PATH = '/rillrudder/tasks'
const SETTLE_PATH = '/rillrudder/settle'
const TIMEOUT = 2000
/** Of a worker's connections, those kept for its tasks. */
const CONNECTIONS = 4

/**
 * The client of all workers.
 *
 * @internal
 */
export class WorkerClient {
	private readonly agent = new Agent({ keepAlive: true, maxSockets: CONNECTIONS })

	/** @returns the worker's reply, or undefined when none came that makes sense. */
	async exchange(exchange: WorkerExchange): Promise<ExchangeReply | undefined> {
		const body = await this.call(exchange.address, TASKS_PATH, exchange.call)
		const parsed = exchangeReplySchema.safeParse(body)
		return parsed.success ? parsed.data : undefined
	}

	/** @returns the worker's word, or undefined when none came that makes sense. */
	async settle(settle: SettleCall): Promise<SettleReply | undefined> {
		const { customer, key, fence } = settle
		const body = await this.call(settle.address, SETTLE_PATH, { customer, key, fence })
		const parsed = settleReplySchema.safeParse(body)
		return parsed.success ? parsed.data : undefined
	}

	/** Closes idle connections. */
	close(): void {
		this.agent.destroy()
	}

	private async call(address: string, path: string, body: unknown): Promise<unknown> {
		const colon = address.lastIndexOf(':')
		const host = address.slice(0, colon)
		const port = Number(address.slice(colon + 1))
		const call = { host, port, method: 'POST', path, body, timeout: TIMEOUT, agent: this.agent }
		const reply = await requestJson(call)
		return reply.ok && reply.value.status === 200 ? reply.value.body : undefined
	}
}
