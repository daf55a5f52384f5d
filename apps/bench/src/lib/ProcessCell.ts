/** A cell of real processes on loopback: seven `rr-control`, seven `rr-entry`, and the fake fleet. */
import { spawn, type ChildProcess } from 'node:child_process'
import { mkdirSync, mkdtempSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { freePorts } from '@rillrudder/demo'
import { SEVEN_INSTANCES } from '@rillrudder/fakes'
import { requestJson } from '@rillrudder/web'

const CONTROL = require.resolve('@rillrudder/control/dist/main.js')
const ENTRY = require.resolve('@rillrudder/entry/dist/main.js')
const FLEET = join(__dirname, '..', 'fleet.js')
const HOST = '127.0.0.1'
const READY_WITHIN = 30_000
/** Fields of `/proc/PID/stat` after the name: user and system time in hundredths of a second. */
const USER_TIME = 11
const SYSTEM_TIME = 12
const MS_A_TICK = 10

/** What an instance's control process says of itself. @public */
export interface CellStatus {
	readonly instance: string
	readonly revision: number
	readonly groups: readonly { name: string; role: string; leader: string; term: number }[]
	readonly metrics: { readonly [name: string]: number }
}

/** An instance and its processes. @public */
export interface ProcessInstance {
	readonly id: string
	readonly dataCentre: string
	readonly callers: string
	readonly operators: string
	readonly controlWords: readonly string[]
	readonly entryWords: readonly string[]
	control: ChildProcess
	entry: ChildProcess
}

interface FleetAddresses {
	readonly platform: string
	readonly runs: string
	readonly worker: string
}

/**
 * A cell of real processes.
 *
 * @public
 */
export class ProcessCell {
	readonly instances: ProcessInstance[] = []
	fleet!: FleetAddresses
	private fleetProcess!: ChildProcess
	private readonly folder = mkdtempSync(join(tmpdir(), 'rillrudder-processes-'))
	private readonly all: ChildProcess[] = []

	/**
	 * @param latency - mean time of a request on a worker, in milliseconds.
	 * @param seed - of the workers.
	 * @param logs - where the processes' log lines go.
	 */
	constructor(
		private readonly latency: number,
		private readonly seed: number,
		private readonly logs: 'ignore' | 'inherit' = 'ignore'
	) {}

	/** Starts all processes; resolves once every data centre has a leader. */
	async start(): Promise<void> {
		this.fleet = await this.startFleet()
		const ports = await freePorts(SEVEN_INSTANCES.length * 3)
		const peers = SEVEN_INSTANCES.flatMap((plan, position) => {
			const disk = plan.disk ? ',disk' : ''
			return ['--peer', `${plan.id}@${plan.dataCentre}=${HOST}:${ports[position]}${disk}`]
		})
		SEVEN_INSTANCES.forEach((plan, position) => {
			const operators = `${HOST}:${ports[SEVEN_INSTANCES.length + position]}`
			const callers = `${HOST}:${ports[2 * SEVEN_INSTANCES.length + position]}`
			const data = join(this.folder, plan.id)
			if (plan.disk) mkdirSync(data)
			const controlWords = [CONTROL, '--id', plan.id, ...peers, '--operators', operators]
			controlWords.push('--platform', this.fleet.platform)
			if (plan.disk) controlWords.push('--data', data)
			const entryWords = [ENTRY, '--id', plan.id, ...peers, '--callers', callers]
			const { id, dataCentre } = plan
			const control = this.spawn(controlWords)
			const entry = this.spawn(entryWords)
			this.instances.push({
				id,
				dataCentre,
				callers,
				operators,
				controlWords,
				entryWords,
				control,
				entry,
			})
		})
		await this.untilReady()
	}

	/** Starts a control process again on its data folder. */
	restartControl(one: ProcessInstance): void {
		one.control = this.spawn(one.controlWords)
	}

	/** @returns what each control process that answers says of itself. */
	async statuses(): Promise<CellStatus[]> {
		const replies = await Promise.all(
			this.instances.map((one) => call(one.operators, '/v1/status'))
		)
		return replies.flatMap((reply) => {
			const body = reply as { content?: CellStatus } | undefined
			return body?.content ?? []
		})
	}

	/** @returns the instance whose control process leads a group. */
	async leaderOf(group: string): Promise<ProcessInstance | undefined> {
		let newest = -1
		let leader: ProcessInstance | undefined
		for (const status of await this.statuses()) {
			// One that was replaced while it stood still may hold itself for the leader a little longer.
			const led = status.groups.find((one) => one.name === group && one.role === 'leader')
			if (!led || led.term <= newest) continue
			newest = led.term
			leader = this.instances.find((one) => one.id === status.instance)
		}
		return leader
	}

	/** @returns how often each key was run, over all workers. */
	async runs(): Promise<Map<string, number>> {
		const reply = await call(this.fleet.runs, '/')
		return new Map(Object.entries((reply ?? {}) as { [name: string]: number }))
	}

	/** @returns processor time of all control and entry processes so far, in milliseconds. */
	processorTime(): number {
		return this.instances
			.flatMap((one) => [one.control, one.entry])
			.reduce((sum, child) => sum + processorTimeOf(child.pid), 0)
	}

	/** @returns resident memory of each kind of process in MiB, the largest. */
	memory(): { control: number; entry: number } {
		const largest = (children: ChildProcess[]) =>
			Math.max(...children.map((child) => residentMemoryOf(child.pid)))
		return {
			control: largest(this.instances.map((one) => one.control)),
			entry: largest(this.instances.map((one) => one.entry)),
		}
	}

	/** Ends all processes that it started. */
	async stop(): Promise<void> {
		const running = this.all.filter((child) => child.exitCode === null && child.signalCode === null)
		const ended = running.map((child) => new Promise((resolve) => child.once('exit', resolve)))
		for (const child of running) child.kill('SIGKILL')
		await Promise.all(ended)
		rmSync(this.folder, { recursive: true, force: true })
	}

	private spawn(words: readonly string[]): ChildProcess {
		const child = spawn(process.execPath, words, { stdio: ['ignore', 'ignore', this.logs] })
		this.all.push(child)
		return child
	}

	private startFleet(): Promise<FleetAddresses> {
		const words = [FLEET, String(this.latency), String(this.seed)]
		const stdio = ['ignore', 'pipe', 'inherit'] as ['ignore', 'pipe', 'inherit']
		const child = spawn(process.execPath, words, { stdio })
		this.fleetProcess = child
		this.all.push(child)
		return new Promise((resolve) => {
			child.stdout.once('data', (line: Buffer) => resolve(JSON.parse(line.toString())))
		})
	}

	private async untilReady(): Promise<void> {
		const end = performance.now() + READY_WITHIN
		for (;;) {
			const statuses = await this.statuses()
			const led = new Set(
				statuses.flatMap((status) =>
					status.groups.filter((group) => group.role === 'leader').map((group) => group.name)
				)
			)
			const committed = statuses.some((status) => (status.metrics['group.commands{vake}'] ?? 0) > 9)
			if (led.size === 4 && statuses.length === this.instances.length && committed) return
			if (performance.now() > end) throw new Error('the cell did not come up')
			await new Promise((resolve) => setTimeout(resolve, 200))
		}
	}
}

async function call(address: string, path: string): Promise<unknown> {
	const [host, port] = address.split(':')
	const reply = await requestJson({ host, port: Number(port), method: 'GET', path, timeout: 3000 })
	return reply.ok ? reply.value.body : undefined
}

function processorTimeOf(pid: number | undefined): number {
	try {
		const stat = readFileSync(`/proc/${pid}/stat`, 'utf8')
		const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
		return (Number(fields[USER_TIME]) + Number(fields[SYSTEM_TIME])) * MS_A_TICK
	} catch {
		return 0
	}
}

function residentMemoryOf(pid: number | undefined): number {
	try {
		const status = readFileSync(`/proc/${pid}/status`, 'utf8')
		return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / 1024
	} catch {
		return 0
	}
}
