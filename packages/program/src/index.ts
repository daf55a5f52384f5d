/** Runs a program: flags and environment variables, validation findings, graceful shutdown. */
export { resolvePeers, PROCESS_FLAGS, settingFlag } from './lib/processFlags'
export {
	ExitCode,
	reportFindings,
	runCommand,
	RunningProgram,
	runUntilStopped,
} from './lib/runProgram'
