/** The settings of `rr-entry`. */
import type { TlsFiles } from '@rillrudder/protocol'
import { SettingsReader, type Endpoint, type Instance } from '@rillrudder/settings'
import type { Finding, Result } from '@rillrudder/utils'

/** Validated settings. @public */
export interface EntrySettings {
	/** The instance that this process runs on. */
	readonly self: Instance
	readonly instances: readonly Instance[]
	/** Listen address for callers. */
	readonly callers: Endpoint
	readonly metrics?: Endpoint
	readonly logLevel: string
	readonly tls?: TlsFiles
	/** How long to keep accepting requests after a planned stop has started, in milliseconds. */
	readonly stopDelay: number
}

/** Unvalidated settings from flags and environment variables. @public */
export interface WrittenEntrySettings {
	readonly id?: string
	readonly peers: readonly string[]
	readonly callers?: string
	readonly metrics?: string
	readonly logLevel?: string
	readonly tlsAuthority?: string
	readonly tlsCertificate?: string
	readonly tlsKey?: string
	readonly stopDelay?: string
}

const DEFAULT_STOP_DELAY = '1000'

/**
 * @param written - unvalidated settings.
 * @returns validated settings, or all findings.
 * @public
 */
export function checkEntrySettings(
	written: WrittenEntrySettings
): Result<EntrySettings, Finding[]> {
	const reader = new SettingsReader()
	const { self, instances } = reader.identity(written)
	const callers = reader.endpoint('--callers (RR_CALLERS)', written.callers)
	if (!callers && !written.callers) reader.report('--callers (RR_CALLERS)', 'is missing')
	const stopDelay = Number(written.stopDelay ?? DEFAULT_STOP_DELAY)
	if (!Number.isInteger(stopDelay) || stopDelay < 0) {
		reader.report(
			'--stop-delay (RR_STOP_DELAY)',
			`"${written.stopDelay}" is not a number of milliseconds`
		)
	}
	return reader.finish({
		self: self as Instance,
		instances,
		callers: callers as Endpoint,
		metrics: reader.endpoint('--metrics (RR_METRICS)', written.metrics),
		logLevel: reader.logLevel(written.logLevel),
		tls: reader.tlsFiles(written),
		stopDelay,
	})
}
