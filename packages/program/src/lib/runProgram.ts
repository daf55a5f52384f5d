/** Runs a program: parses its flags, reports findings, shuts it down and sets the exit code. */
import { formatFinding, type Finding, type Result } from '@rillrudder/utils'
import { runSafely } from 'cmd-ts'
import type { Runner } from 'cmd-ts/dist/cjs/runner'

/** Exit codes, which scripts may rely on. @public */
export const ExitCode = {
	Done: 0,
	/** The program failed while it ran, or its request was rejected. */
	Failed: 1,
	/** Flags, environment variables or documents are invalid. */
	Usage: 2,
	/** The server could not be reached; the request may have been executed. */
	Unreachable: 3,
} as const
/** One of the exit codes. @public */
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode]

/** A program that runs until it is stopped. @public */
export abstract class RunningProgram {
	/** Starts the program; resolves once it is serving. */
	abstract start(): Promise<void>
	/** Shuts down gracefully; resolves once nothing is in flight. */
	abstract stop(): Promise<void>
}

/**
 * Parses the arguments and runs the command that they select.
 *
 * @param command - a cmd-ts command; its handler returns the exit code, or undefined to keep running.
 * @param args - the command-line arguments after the program's name.
 * @public
 */
// eslint-disable-next-line @typescript-eslint/no-explicit-any -- as the library declares it
export async function runCommand(command: Runner<any, any>, args: string[]): Promise<void> {
	process.stdout.on('error', exitOnClosedPipe)
	const result = await runSafely(command, args)
	if (result._tag === 'ok') {
		const code = await handlerResult(result.value)
		if (typeof code === 'number') process.exitCode = code
		return
	}
	const { exitCode, message, into } = result.error.config
	process[into].write(message.endsWith('\n') ? message : `${message}\n`)
	process.exitCode = exitCode === 0 ? ExitCode.Done : ExitCode.Usage
}

/** Exits without an error when the reader of the output closes the pipe, as `head` does. */
function exitOnClosedPipe(fault: NodeJS.ErrnoException): void {
	if (fault.code !== 'EPIPE') throw fault
	process.exit(ExitCode.Done)
}

/** Unwraps a subcommand's result, which cmd-ts wraps once for each level of commands. */
async function handlerResult(value: unknown): Promise<unknown> {
	const settled = await value
	const wrapped = typeof settled === 'object' && settled !== null && 'value' in settled
	return wrapped ? handlerResult(settled.value) : settled
}

/**
 * Prints all findings to standard error, one per line.
 *
 * @param findings - at least one finding.
 * @returns the exit code for invalid input.
 * @public
 */
export function reportFindings(findings: readonly Finding[]): ExitCode {
	for (const finding of findings) process.stderr.write(`${formatFinding(finding)}\n`)
	return ExitCode.Usage
}

/**
 * Starts a program and stops it on SIGTERM or SIGINT; a second signal exits immediately.
 *
 * @param settings - the settings, or the findings if they are invalid.
 * @param make - creates the program.
 * @returns the exit code if the settings are invalid, or undefined once the program runs.
 * @public
 */
export async function runUntilStopped<Settings>(
	settings: Result<Settings, Finding[]>,
	make: (settings: Settings) => RunningProgram
): Promise<ExitCode | undefined> {
	if (!settings.ok) return reportFindings(settings.error)
	const program = make(settings.value)
	let stopping = false
	const stop = (): void => {
		if (stopping) process.exit(ExitCode.Failed)
		stopping = true
		void program.stop().then(() => process.exit(ExitCode.Done))
	}
	process.on('SIGTERM', stop)
	process.on('SIGINT', stop)
	try {
		await program.start()
		return undefined
	} catch (fault) {
		process.stderr.write(`${(fault as Error).message}\n`)
		process.exit(ExitCode.Failed)
	}
}
