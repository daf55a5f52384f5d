/** The log of a process on its standard output, bounded and never waiting. */
import type { Clock } from '@rillrudder/utils'
import type { LogLevelDesc } from 'loglevel'
import { LineWriter, type LineSink } from './LineWriter'
import { Level, Log } from './Log'

/** Event of the line that tells how many lines of which events were left out. @public */
export const LINES_LEFT_OUT = 'lines-left-out'

/** A log and what it left out. @public */
export interface ProcessLog {
	readonly log: Log
	readonly writer: LineWriter
}

/**
 * @param process - id of the process, on every line.
 * @param clock - time of the lines and of their budgets.
 * @param stream - where lines go.
 * @param level - lines below it are left out.
 * @returns the log, and the writer behind it.
 * @public
 */
export function createProcessLog(
	process: string,
	clock: Clock,
	stream: NodeJS.WritableStream,
	level: LogLevelDesc = Level.Info
): ProcessLog {
	const sink: LineSink = {
		write: (text) => stream.write(text),
		onceDrained: (call) => void stream.once('drain', call),
	}
	// A reader that has gone takes nothing more; the process goes on without its log.
	stream.on('error', () => undefined)
	const writer = new LineWriter(sink, clock, (counts) =>
		JSON.stringify({
			at: clock.date().toISOString(),
			level: Level.Warn,
			process,
			event: LINES_LEFT_OUT,
			...counts,
		})
	)
	const write = (line: string, event: string, lineLevel: Level): void =>
		writer.write(event, line, lineLevel === Level.Warn || lineLevel === Level.Error)
	return { log: new Log(process, clock, level, write), writer }
}
