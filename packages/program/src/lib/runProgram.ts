/** Runs a program: its flags, its findings, its planned stop and its exit codes. */
import { formatFinding, type Finding, type Result } from '@rillrudder/utils'
import { runSafely } from 'cmd-ts'
import type { Runner } from 'cmd-ts/dist/cjs/runner'

/** Exit codes that scripts can trust. @public */
export const ExitCode = {
	Done: 0,
	/** The program failed while it ran, or was refused what it asked for. */
	Failed: 1,
	/** Flags, variables or documents are not as they should be. */
	Usage: 2,
	/** What it asked could not be reached; it may have been done. */
	Unreachable: 3,
} as const
/** One of the codes. @public */
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode]

/** A program that goes on until it is stopped. @public */
export abstract class RunningProgram {
	/** Starts; resolves once it serves. */
	abstract start(): Promise<void>
	/** Stops as planned: resolves once nothing is in flight any more. */
	abstract stop(): Promise<void>
}

/**
 * Reads flags and runs the command that they name.
 *
 * @param command - a command of cmd-ts; its handler's result is the exit code, or undefined to go on.
 * @param words - the words after the program's name.
 * @public
 */
// eslint-disable-next-line @typescript-eslint/no-explicit-any -- as the library declares it
export async function runCommand(command: Runner<any, any>, words: string[]): Promise<void> {
	process.stdout.on('error', endQuietlyWhenNobodyReads)
	const result = await runSafely(command, words)
	if (result._tag === 'ok') {
		const code = await handlerResult(result.value)
		if (typeof code === 'number') process.exitCode = code
		return
	}
	const { exitCode, message, into } = result.error.config
	process[into].write(message.endsWith('\n') ? message : `${message}\n`)
	process.exitCode = exitCode === 0 ? ExitCode.Done : ExitCode.Usage
}

/** As when the output goes to `head`. */
function endQuietlyWhenNobodyReads(fault: NodeJS.ErrnoException): void {
	if (fault.code !== 'EPIPE') throw fault
	process.exit(ExitCode.Done)
}

/** A subcommand's result comes wrapped once for each level of commands. */
async function handlerResult(value: unknown): Promise<unknown> {
	const settled = await value
	const wrapped = typeof settled === 'object' && settled !== null && 'value' in settled
	return wrapped ? handlerResult(settled.value) : settled
}

/**
 * Prints all findings, one a line.
 *
 * @param findings - at least one.
 * @returns the exit code for them.
 * @public
 */
export function reportFindings(findings: readonly Finding[]): ExitCode {
	for (const finding of findings) process.stderr.write(`${formatFinding(finding)}\n`)
	return ExitCode.Usage
}

/**
 * Starts a program and stops it on SIGTERM or SIGINT; a second signal ends it at once.
 *
 * @param settings - the settings, or what is wrong with them.
 * @param make - makes the program.
 * @returns the exit code when it could not start, or undefined while it runs.
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
