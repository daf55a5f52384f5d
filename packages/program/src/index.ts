/** Runs a program: flags and variables, findings, planned stops. */
export { peersFrom, PROCESS_FLAGS, setting } from './lib/processFlags'
export {
	ExitCode,
	reportFindings,
	runCommand,
	RunningProgram,
	runUntilStopped,
} from './lib/runProgram'
