/** Structured logs: one JSON object a line, and a line only for a change of state. */
import type { Clock } from '@rillrudder/utils'
import loglevel, { type LogLevelDesc, type Logger } from 'loglevel'

/** Fields of a line besides its time, level, process and event. @public */
export interface LogFields {
	readonly [field: string]: string | number | boolean | undefined
}

/** How severe a line is. @public */
export const Level = { Debug: 'debug', Info: 'info', Warn: 'warn', Error: 'error' } as const
/** One of the levels. @public */
export type Level = (typeof Level)[keyof typeof Level]

/** The library's numbers for the levels. */
const RANKS: { readonly [level in Level]: number } = {
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
	 * @param level - lines below it are left out.
	 * @param write - takes each line; standard error by default.
	 */
	constructor(
		private readonly process: string,
		private readonly clock: Clock,
		level: LogLevelDesc = Level.Info,
		write: (line: string, event: string, level: Level) => void = (line) =>
			void globalThis.process.stderr.write(line + '\n')
	) {
		this.logger = loglevel.getLogger(`${process}-${++Log.made}`)
		this.logger.methodFactory = () => (line: string, event: string, lineLevel: Level) =>
			write(line, event, lineLevel)
		this.logger.setLevel(level, false)
	}

	private static made = 0

	/** A change that only helps to find a fault. */
	debug(event: string, fields: LogFields = {}): void {
		this.tell(Level.Debug, event, fields)
	}

	/** A change of state that is meant to happen. */
	info(event: string, fields: LogFields = {}): void {
		this.tell(Level.Info, event, fields)
	}

	/** A change of state that somebody should look at. */
	warn(event: string, fields: LogFields = {}): void {
		this.tell(Level.Warn, event, fields)
	}

	/** A fault after which the process can't go on as it was. */
	error(event: string, fields: LogFields = {}): void {
		this.tell(Level.Error, event, fields)
	}

	/** A line below the level of this log is not even made: that costs more than most decisions that it tells of. */
	private tell(level: Level, event: string, fields: LogFields): void {
		if (this.logger.getLevel() > RANKS[level]) return
		this.logger[level](this.line(level, event, fields), event, level)
	}

	private line(level: Level, event: string, fields: LogFields): string {
		const at = this.clock.date().toISOString()
		return JSON.stringify({ at, level, process: this.process, event, ...fields })
	}
}
