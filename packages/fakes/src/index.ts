/** Stand-ins for workers and the platform. */
export { FakePlatform, LIST_PATH, type PlatformWorker } from './lib/FakePlatform'
export { FakeWorker, SETTLE_PATH, TASKS_PATH } from './lib/FakeWorker'
export { SEVEN_INSTANCES, type InstancePlan } from './lib/todaysInstances'
export {
	WorkerModel,
	type Amount,
	type Execution,
	type TaskExchange,
	type TaskExchangeReply,
	type WorkAnswer,
	type WorkerSettings,
	type WorkRequest,
} from './lib/WorkerModel'
