/** Structured logs: one JSON object per line, written only for state changes. */
import type { Clock } from '@rillrudder/utils'
import loglevel, { type LogLevelDesc, type Logger } from 'loglevel'

/** Fields of a log line in addition to its time, level, process and event. @public */
export interface LogFields {
	readonly [field: string]: string | number | boolean | undefined
}

/** Severity of a log line. @public */
export const Level = { Debug: 'debug', Info: 'info', Warn: 'warn', Error: 'error' } as const
/** One of the levels. @public */
export type Level = (typeof Level)[keyof typeof Level]

/** The numeric levels of loglevel. */
const NUMERIC_LEVELS: { readonly [level in Level]: number } = {
	debug: loglevel.levels.DEBUG,
	info: loglevel.levels.INFO,
	warn: loglevel.levels.WARN,
	error: loglevel.levels.ERROR,
}

/**
 * The log of one process.
 *
 * @example
 * ```ts
 * log.info('leadership-gained', { group: 'vake', term: 7 })
 * ```
 * @public
 */
export class Log {
	private readonly logger: Logger

	/**
	 * @param process - id of the process, on every line.
	 * @param clock - gives the time of each line.
	 * @param level - lines below this level are not logged.
	 * @param write - writes a line; to standard error by default.
	 */
	constructor(
		private readonly process: string,
		private readonly clock: Clock,
		level: LogLevelDesc = Level.Info,
		write: (line: string, event: string, level: Level) => void = (line) =>
			void globalThis.process.stderr.write(line + '\n')
	) {
		this.logger = loglevel.getLogger(`${process}-${++Log.loggerCount}`)
		this.logger.methodFactory = () => (line: string, event: string, lineLevel: Level) =>
			write(line, event, lineLevel)
		this.logger.setLevel(level, false)
	}

	private static loggerCount = 0

	/** Logs a detail that is useful only for debugging. */
	debug(event: string, fields: LogFields = {}): void {
		this.write(Level.Debug, event, fields)
	}

	/** Logs an expected state change. */
	info(event: string, fields: LogFields = {}): void {
		this.write(Level.Info, event, fields)
	}

	/** Logs a state change that needs attention. */
	warn(event: string, fields: LogFields = {}): void {
		this.write(Level.Warn, event, fields)
	}

	/** Logs a fault after which the process cannot continue normally. */
	error(event: string, fields: LogFields = {}): void {
		this.write(Level.Error, event, fields)
	}

	/** Formats only lines that are logged: formatting costs more than most decisions that are logged. */
	private write(level: Level, event: string, fields: LogFields): void {
		if (this.logger.getLevel() > NUMERIC_LEVELS[level]) return
		this.logger[level](this.format(level, event, fields), event, level)
	}

	private format(level: Level, event: string, fields: LogFields): string {
		const at = this.clock.date().toISOString()
		return JSON.stringify({ at, level, process: this.process, event, ...fields })
	}
}
