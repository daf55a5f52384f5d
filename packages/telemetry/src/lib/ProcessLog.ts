/** The log of a process, bounded and non-blocking. */
import type { Clock } from '@rillrudder/utils'
import type { LogLevelDesc } from 'loglevel'
import { LineWriter, type LineSink } from './LineWriter'
import { Level, Log } from './Log'

/** Event of the line that reports how many lines of which events were dropped. @public */
export const LINES_LEFT_OUT = 'lines-left-out'

/** A log and its writer, which counts dropped lines. @public */
export interface ProcessLog {
	readonly log: Log
	readonly writer: LineWriter
}

/**
 * Creates the log of a process.
 *
 * @param process - id of the process, on every line.
 * @param clock - the clock for timestamps and budgets.
 * @param stream - the destination of the lines.
 * @param level - lines below this level are not logged.
 * @returns the log and its writer.
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
	// If the reader closes the stream, the process continues without its log.
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
