/** Jobs, queues and workers for tests. */
import type { Queue, Worker } from '../records/Cell'
import type { JobRequest, Step } from '../records/Job'

/** A queue without advice. */
export const QUEUE: Queue = {
	name: 'checks',
	host: 'city.example',
	prefix: '/checks/',
	priority: 0,
	service: 'desk',
	maxAttempts: 2,
	latencyTarget: 250,
	stretch: 2,
	timeout: 3000,
}

/** A plain step of one small task. */
export const STEP: Step = {
	count: 1,
	need: { cpu: 1000, memory: 512, accelerators: 0 },
	expectedTime: 500,
	dependsOn: [],
	checkpoints: false,
	gang: false,
	sameRack: false,
	requires: '',
	rack: '',
	mostPerWorker: 0,
	copies: false,
	lasting: false,
	image: '',
	latencyTarget: 0,
	bestEffort: false,
	disruptionBudget: 0,
}

/** @returns a job of the steps given, each plain but for what is said. */
export function jobOf(...steps: Partial<Step>[]): JobRequest {
	return { spec: 'text', steps: steps.map((step) => ({ ...STEP, ...step })) }
}

/** @returns a worker of 4 processors. */
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
