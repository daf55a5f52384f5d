/** Runs a program: flags and variables, findings, planned stops. */
export {
	ExitCode,
	reportFindings,
	runCommand,
	RunningProgram,
	runUntilStopped,
} from './lib/runProgram'
