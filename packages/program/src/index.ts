/** Runs a program: flags and variables, findings, planned stops. */
export { resolvePeers, PROCESS_FLAGS, settingFlag } from './lib/processFlags'
export {
	ExitCode,
	reportFindings,
	runCommand,
	RunningProgram,
	runUntilStopped,
} from './lib/runProgram'
