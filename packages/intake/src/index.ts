/** What an entry instance decides: where requests go, when they start, what callers are told. */
export { CallerRequest, type AttemptOptions } from './lib/CallerRequest'
export { Intake, type IntakeParts } from './lib/Intake'
export {
	Attempt,
	CallOutcome,
	WorkerCalls,
	type AttemptResult,
	type WorkerCall,
} from './lib/WorkerCalls'
