/** HTTP client that exchanges task state with workers and settles attempts in doubt. */
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
const TIMEOUT_MS = 2000
/** Connections of a worker that are reserved for tasks. */
const MAX_CONNECTIONS = 4

/**
 * HTTP client for all workers.
 *
 * @internal
 */
export class WorkerClient {
	private readonly agent = new Agent({ keepAlive: true, maxSockets: MAX_CONNECTIONS })

	/** @returns the worker's reply, or undefined if there was no valid one. */
	async exchange(exchange: WorkerExchange): Promise<ExchangeReply | undefined> {
		const body = await this.call(exchange.address, TASKS_PATH, exchange.call)
		const parsed = exchangeReplySchema.safeParse(body)
		return parsed.success ? parsed.data : undefined
	}

	/** @returns the worker's settlement of the attempt, or undefined if there was no valid reply. */
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
		const call = { host, port, method: 'POST', path, body, timeout: TIMEOUT_MS, agent: this.agent }
		const reply = await requestJson(call)
		return reply.ok && reply.value.status === 200 ? reply.value.body : undefined
	}
}
