/** A short mixed day of both users' work on a local cell, and the report of what happened. */
import { readFileSync } from 'node:fs'
import { join } from 'node:path'
import { build, type Histogram } from 'hdr-histogram-js'
import { Random, type Clock } from '@rillrudder/utils'
import { requestJson } from '@rillrudder/web'
import { makeCall, type CallResult } from './Caller'
import type { FakeFleet } from './FakeFleet'
import type { LocalCell } from './LocalCell'

const EXAMPLES = join(__dirname, '..', '..', 'examples')
const SPAN = 6000
const MEAN_GAP = 10
const CUSTOMERS = [
	'batumi-council',
	'kutaisi-council',
	'green-tbilisi',
	'zarqa-agents',
	'petra-bank',
]
const MICROSECONDS = 1000

/** One kind of request and how it went. */
interface Tally {
	/** From the call to the whole answer. */
	readonly times: Histogram
	/** From the call to the first start on a worker. */
	readonly waits: Histogram
	readonly outcomes: Map<string, number>
}

/** An operator's reply. */
interface Reply {
	readonly message: string
	readonly content: unknown
}

/**
 * A short mixed day.
 *
 * @public
 */
export class MixedDay {
	private readonly tallies = new Map<string, Tally>()
	private readonly lines: string[] = []
	private sent = 0
	/** For each request, by customer and key, its kind and when it was made, on the clock. */
	private readonly made = new Map<string, { readonly kind: string; readonly at: number }>()

	constructor(
		private readonly cell: LocalCell,
		private readonly fleet: FakeFleet,
		private readonly clock: Clock,
		private readonly random: Random
	) {}

	/** @returns the report; throws when something that must always hold did not. */
	async run(): Promise<string> {
		await this.configure()
		await this.planAll()
		const before = process.cpuUsage()
		await this.callAll()
		const used = process.cpuUsage(before)
		await this.sendTwice()
		this.report(((used.user + used.system) / this.sent) | 0)
		return this.lines.join('\n')
	}

	private async configure(): Promise<void> {
		const document = readFileSync(join(EXAMPLES, 'configuration.yaml'), 'utf8')
		const reply = await this.operate('/v1/configuration', { replaces: 0, document })
		this.lines.push(`Configuration: ${reply.message}`)
	}

	private async planAll(): Promise<void> {
		this.lines.push('', 'Plans')
		await this.cell.until(() => this.workersKnown(), 'the workers are known')
		for (const name of ['tally-watch', 'settlement', 'month-close']) {
			const document = readFileSync(join(EXAMPLES, `${name}.yaml`), 'utf8')
			const reply = await this.operate('/v1/plans', { document })
			const { subject, plan } = reply.content as {
				subject: string
				plan: { steps: { action: string; task: string; where: string; why: string }[] }
			}
			for (const step of plan.steps) {
				this.lines.push(`  ${step.action} ${step.task}  ${step.where}  (${step.why})`)
			}
			const confirmed = await this.operate(`/v1/plans/${subject}/confirm`, {})
			this.lines.push(`  ${name}: ${confirmed.message}`)
		}
	}

	private workersKnown(): boolean {
		return this.cell.instances.some(
			(one) => one.control.metrics.snapshot()['group.commands{vake}'] > 8
		)
	}

	/** Open loop: requests arrive when they arrive, whether or not earlier ones are answered. */
	private async callAll(): Promise<void> {
		const calls: Promise<void>[] = []
		const end = this.clock.now() + SPAN
		while (this.clock.now() < end) {
			const gap = this.random.exponential(MEAN_GAP)
			await new Promise<void>((resolve) => this.clock.after(gap, () => resolve()))
			calls.push(this.callOnce())
		}
		await Promise.all(calls)
	}

	private async callOnce(): Promise<void> {
		const customer = this.random.pick(CUSTOMERS)
		const { address } = this.randomEntry()
		const reads = this.random.chance(0.5)
		const shop = customer.startsWith('zarqa') || customer.startsWith('petra')
		const kind = reads ? (shop ? 'balance' : 'tally') : shop ? 'top-up' : 'signature'
		const method = reads ? 'GET' : 'POST'
		const body = reads ? undefined : JSON.stringify({ number: this.sent })
		const key = reads ? undefined : `${kind}-${this.sent}`
		this.sent += 1
		const call = { address, method, path: `/${kind}`, customer, body, key, timeout: 5000 }
		const at = this.clock.now()
		const result = await makeCall(call, () => this.clock.now())
		this.made.set(`${customer}/${result.key}`, { kind, at })
		this.count(kind, result)
	}

	/** The same key at two entry instances at once: it runs once, and both get the same answer. */
	private async sendTwice(): Promise<void> {
		const [first, second] = [0, 4].map((position) => this.cell.instances[position].entry)
		const call = {
			method: 'POST',
			path: '/top-up',
			customer: 'zarqa-agents',
			key: 'twice',
			body: '{}',
		}
		const now = () => this.clock.now()
		const [left, right] = await Promise.all([
			makeCall({ ...call, address: first.callerAddress }, now),
			makeCall({ ...call, address: second.callerAddress }, now),
		])
		const same = left.body === right.body && left.status === 200 && left.outcome === 'ran'
		const runs = this.fleet.runsByKey().get('zarqa-agents/twice') ?? 0
		if (!same || runs !== 1)
			throw new Error(`sent twice, it ran ${runs} times: ${left.body} ${right.body}`)
		this.lines.push('', 'The same key at two entry instances: ran once, both answers the same')
	}

	private report(microseconds: number): void {
		this.countWaits()
		this.lines.push(
			'',
			'Requests                 count  wait p50  wait p99  answer p50  answer p99   outcomes (ms)'
		)
		for (const [kind, { times, waits, outcomes }] of [...this.tallies].sort()) {
			const ends = [...outcomes].map(([outcome, count]) => `${outcome} ${count}`).join(', ')
			const count = String(times.totalCount).padStart(6)
			const waited = `${at(waits, 50, 9)} ${at(waits, 99, 9)}`
			const answered = `${at(times, 50, 11)} ${at(times, 99, 11)}`
			this.lines.push(`  ${kind.padEnd(20)} ${count} ${waited} ${answered}   ${ends}`)
		}
		const twice = [...this.fleet.runsByKey()].filter(([, runs]) => runs > 1)
		if (twice.length > 0)
			throw new Error(`ran more than once: ${twice.map(([key]) => key).join(' ')}`)
		this.lines.push(
			'',
			'No request that is not repeatable ran more than once; no worker was overcommitted'
		)
		this.lines.push(`Packing: ${this.packing()}`)
		this.lines.push(
			`Control cost: ${microseconds} us of processor time a request, callers and fake workers included`
		)
	}

	/** How long requests waited, from what the workers saw of them. */
	private countWaits(): void {
		const started = new Map<string, number>()
		for (const { customer, key, at } of this.fleet.executions()) {
			const name = `${customer}/${key}`
			started.set(name, Math.min(at, started.get(name) ?? at))
		}
		for (const [name, { kind, at }] of this.made) {
			const start = started.get(name)
			if (start !== undefined) record(this.tallyOf(kind).waits, start - at)
		}
	}

	private packing(): string {
		let given = 0
		let offered = 0
		let tasks = 0
		for (const { model } of this.fleet.workers) {
			given += model.given.cpu
			offered += model.settings.capacity.cpu
			tasks += model.tasks.length
		}
		const share = ((100 * given) / offered).toFixed(1)
		return `${tasks} tasks run on ${share}% of the processors`
	}

	private count(kind: string, result: CallResult): void {
		const tally = this.tallyOf(kind)
		record(tally.times, result.span)
		const outcome = result.outcome === '' ? 'no answer' : result.outcome
		tally.outcomes.set(outcome, (tally.outcomes.get(outcome) ?? 0) + 1)
	}

	private tallyOf(kind: string): Tally {
		let tally = this.tallies.get(kind)
		if (!tally) {
			tally = { times: newHistogram(), waits: newHistogram(), outcomes: new Map() }
			this.tallies.set(kind, tally)
		}
		return tally
	}

	private randomEntry(): { address: string } {
		return { address: this.random.pick(this.cell.instances).entry.callerAddress }
	}

	private async operate(path: string, body: object): Promise<Reply> {
		const vake = this.cell.instances.find((one) => one.instance.dataCentre === 'vake')
		const [host, port] = (vake?.control.operatorAddress ?? '').split(':')
		const headers = { 'rillrudder-operator': 'demo' }
		const call = { host, port: Number(port), method: 'POST', path, body, headers, timeout: 15_000 }
		const reply = await requestJson(call)
		if (!reply.ok) throw new Error(`${path}: ${reply.error.message}`)
		if (reply.value.status !== 200) {
			throw new Error(`${path}: ${reply.value.status} ${JSON.stringify(reply.value.body)}`)
		}
		return reply.value.body as Reply
	}
}

function newHistogram(): Histogram {
	return build({ bitBucketSize: 64, numberOfSignificantValueDigits: 3 })
}

/** Records a span in milliseconds. */
function record(histogram: Histogram, span: number): void {
	histogram.recordValue(Math.max(1, Math.round(span * MICROSECONDS)))
}

/** A percentile in milliseconds as text of a width. */
function at(histogram: Histogram, percentile: number, width: number): string {
	const value = histogram.getValueAtPercentile(percentile) / MICROSECONDS
	return value.toFixed(1).padStart(width)
}
