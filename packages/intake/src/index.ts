/** Decision logic of an entry instance: request routing, admission, and answers to callers. */
export { CallerRequest, type AttemptOptions } from './lib/CallerRequest'
export { Intake, type IntakeParts } from './lib/Intake'
export {
	Attempt,
	CallOutcome,
	WorkerCalls,
	type AttemptResult,
	type WorkerCall,
} from './lib/WorkerCalls'
