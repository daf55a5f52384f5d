/** Sample jobs, queues, accounts and workers for tests. */
import { digestOf, type ClientAccount } from '../accounts/ClientAccount'
import type { Queue, Worker } from '../records/Cell'
import { DEFAULT_STEP, type JobRequest, type Step } from '../records/Job'

/** A queue that requires no advice. */
export const QUEUE: Queue = {
	name: 'checks',
	host: 'city.example',
	prefix: '/checks/',
	priority: 0,
	service: 'checks-service',
	maxAttempts: 2,
	latencyTarget: 250,
	stretch: 2,
	timeout: 3000,
}

/** @returns an account with one key: its name in upper case. */
export function accountNamed(name: string, changes: Partial<ClientAccount> = {}): ClientAccount {
	return { name, keyDigests: [digestOf(name.toUpperCase())], weight: 100, ...changes }
}

/** A step of one small task that runs longer than a test does. */
export const STEP: Step = {
	...DEFAULT_STEP,
	need: { cpu: 1000, memory: 512, accelerators: 0 },
	expectedTime: 30_000,
}

/** @returns a job with a {@link STEP} for each set of overrides. */
export function jobOf(...steps: Partial<Step>[]): JobRequest {
	return { spec: 'text', steps: steps.map((step) => ({ ...STEP, ...step })) }
}

/** @returns a worker with 4 processors and 8 slots. */
export function workerNamed(id: string, changes: Partial<Worker> = {}): Worker {
	return {
		id,
		service: QUEUE.service,
		address: `${id}:80`,
		dataCentre: 'vake',
		rack: 'r1',
		labels: ['a', 'r1'],
		capacity: { cpu: 4000, memory: 8192, accelerators: 0 },
		slots: 8,
		...changes,
	}
}
