/** A whole cell on loopback in one process: the instances of three data centres. */
import { mkdirSync, mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { ControlProcess } from '@rillrudder/control'
import { EntryProcess } from '@rillrudder/entry'
import type { InstancePlan } from '@rillrudder/fakes'
import type { Instance } from '@rillrudder/settings'
import { Log } from '@rillrudder/telemetry'
import type { Clock } from '@rillrudder/utils'
import { freePorts } from './freePorts'

/** An instance and its two processes. @public */
export interface CellInstance {
	readonly instance: Instance
	control: ControlProcess
	entry: EntryProcess
	readonly data?: string
}

const HOST = '127.0.0.1'
const LOOK_EVERY = 50
const READY_WITHIN = 30_000

/**
 * A cell on loopback.
 *
 * @public
 */
export class LocalCell {
	readonly instances: CellInstance[] = []
	private readonly folder = mkdtempSync(join(tmpdir(), 'rillrudder-cell-'))

	/**
	 * @param plans - its instances.
	 * @param platform - host and port of the platform's list.
	 * @param clock - the time.
	 * @param writeLog - takes log lines; dropped by default.
	 */
	constructor(
		private readonly plans: readonly InstancePlan[],
		private readonly platform: string,
		private readonly clock: Clock,
		private readonly writeLog: (line: string) => void = () => undefined
	) {}

	/** Starts all instances; resolves once every data centre has a leader. */
	async start(): Promise<void> {
		const ports = await freePorts(this.plans.length)
		const all = this.plans.map((plan, position) => ({
			...plan,
			address: `${HOST}:${ports[position]}`,
		}))
		for (const instance of all) this.add(instance, all)
		await Promise.all(this.instances.map((one) => one.control.start()))
		await Promise.all(this.instances.map((one) => one.entry.start()))
		await this.until(() => this.leaderless.length === 0, 'every data centre has a leader')
	}

	/** Data centres for which nobody decides now. */
	get leaderless(): string[] {
		const led = new Set(this.instances.flatMap((one) => one.control.leading))
		return [...new Set(this.plans.map((plan) => plan.dataCentre))].filter((name) => !led.has(name))
	}

	/** @returns the instance that decides for a data centre. */
	leaderOf(dataCentre: string): CellInstance | undefined {
		return this.instances.find((one) => one.control.leading.includes(dataCentre))
	}

	/**
	 * Waits until something holds.
	 *
	 * @throws Error when it does not within 30 seconds.
	 */
	async until(holds: () => boolean, what: string): Promise<void> {
		const end = this.clock.now() + READY_WITHIN
		while (!holds()) {
			if (this.clock.now() > end) throw new Error(`it did not come to be that ${what}`)
			await new Promise<void>((resolve) => this.clock.after(LOOK_EVERY, () => resolve()))
		}
	}

	/** Stops all instances as planned. */
	async stop(): Promise<void> {
		await Promise.all(this.instances.map((one) => one.entry.stop()))
		for (const one of this.instances) one.control.halt()
		await Promise.all(this.instances.map((one) => one.control.stop()))
		rmSync(this.folder, { recursive: true, force: true })
	}

	private add(instance: Instance, all: readonly Instance[]): void {
		const data = instance.disk ? join(this.folder, instance.id) : undefined
		if (data) mkdirSync(data)
		const control = this.makeControl(instance, all, data)
		const entry = new EntryProcess(
			{
				self: instance,
				instances: all,
				callers: { host: HOST, port: 0 },
				logLevel: 'info',
				stopDelay: 0,
			},
			{ clock: this.clock, log: this.log(`${instance.id}/entry`) }
		)
		this.instances.push({ instance, control, entry, data })
	}

	private makeControl(instance: Instance, all: readonly Instance[], data?: string): ControlProcess {
		const [host, port] = this.platform.split(':')
		return new ControlProcess(
			{
				self: instance,
				instances: all,
				operators: { host: HOST, port: 0 },
				platform: { host, port: Number(port) },
				data,
				logLevel: 'info',
			},
			{ clock: this.clock, log: this.log(instance.id) }
		)
	}

	private log(process: string): Log {
		return new Log(process, this.clock, 'info', this.writeLog)
	}
}
