/** Fake workers in racks of eight, and the platform that lists them. */
import {
	FakePlatform,
	FakeWorker,
	WorkerModel,
	type Execution,
	type PlatformWorker,
} from '@rillrudder/fakes'
import { Random, type Clock } from '@rillrudder/utils'

const RACK_SIZE = 8
const SLOT_CPU = 250
const SLOT_MEMORY = 256

/** What a fleet is made of. @public */
export interface FleetPlan {
	readonly workers: number
	readonly dataCentres: readonly string[]
	readonly seed: number
	/** Mean time of a request in milliseconds. */
	readonly latency: number
	/** Lag of the platform's list in milliseconds. */
	readonly lag: number
	/** Thousandths of a processor and MiB of each worker. */
	readonly cpu: number
	readonly memory: number
	/** Every so many workers there is one with eight accelerators. */
	readonly acceleratorsEvery: number
}

/** The workers that the users have today. @public */
export const TODAYS_WORKERS: Omit<FleetPlan, 'dataCentres' | 'seed'> = {
	workers: 30,
	latency: 10,
	lag: 1000,
	cpu: 16_000,
	memory: 32 * 1024,
	acceleratorsEvery: 10,
}

/**
 * A fleet of fake workers on loopback.
 *
 * @public
 */
export class FakeFleet {
	readonly workers: FakeWorker[] = []
	readonly platform: FakePlatform
	platformAddress = ''
	private listed: PlatformWorker[] = []

	constructor(
		private readonly plan: FleetPlan,
		private readonly clock: Clock
	) {
		this.platform = new FakePlatform(clock, plan.lag)
	}

	/** Starts everything; resolves once it listens. */
	async start(): Promise<void> {
		for (let number = 0; number < this.plan.workers; number++) await this.add(number)
		this.platform.set(this.listed)
		this.platformAddress = await this.platform.listen()
	}

	/** @returns a worker by its id. */
	find(id: string): FakeWorker | undefined {
		return this.workers.find((worker) => worker.model.settings.id === id)
	}

	/** Address of the first worker, for calls that go around the system. */
	get workerAddress(): string {
		return this.listed[0].address
	}

	/** Marks a worker as leaving: it refuses work at once, and the list says so later. */
	leave(id: string): void {
		const worker = this.find(id)
		if (worker) worker.model.settings.leaving = true
		this.listed = this.listed.map((one) => (one.id === id ? { ...one, state: 'leaving' } : one))
		this.platform.set(this.listed)
	}

	/** Every execution of a request that a worker began. */
	executions(): Execution[] {
		return this.workers.flatMap(({ model }) => model.executions)
	}

	/** How often each key of requests that are not repeatable was run, over all workers. */
	runsByKey(): Map<string, number> {
		const runs = new Map<string, number>()
		for (const { customer, key, repeatable } of this.executions()) {
			if (repeatable) continue
			const name = `${customer}/${key}`
			runs.set(name, (runs.get(name) ?? 0) + 1)
		}
		return runs
	}

	/** Stops everything. */
	stop(): void {
		for (const worker of this.workers) worker.close()
		this.platform.close()
	}

	private async add(number: number): Promise<void> {
		const { dataCentres, seed, latency, cpu, memory, acceleratorsEvery } = this.plan
		const dataCentre = dataCentres[number % dataCentres.length]
		const position = Math.floor(number / dataCentres.length)
		const id = `${dataCentre}-w${position + 1}`
		const accelerators = number % acceleratorsEvery === 0 ? 8 : 0
		const capacity = { cpu, memory, accelerators }
		const settings = {
			id,
			capacity,
			slots: 8,
			slotAmount: { cpu: SLOT_CPU, memory: SLOT_MEMORY, accelerators: 0 },
			latency,
			failing: 0,
			silent: false,
			leaving: false,
		}
		const model = new WorkerModel(settings, this.clock, new Random(seed + number))
		const worker = new FakeWorker(model)
		const address = await worker.listen()
		this.workers.push(worker)
		const rack = `${dataCentre}-r${Math.floor(position / RACK_SIZE) + 1}`
		this.listed.push({ id, address, dataCentre, rack, state: 'live', capacity })
	}
}
