/** The settings of `rr-control`. */
import type { TlsFiles } from '@rillrudder/protocol'
import { SettingsReader, type Endpoint, type Instance } from '@rillrudder/settings'
import type { Finding, Result } from '@rillrudder/utils'

/** Validated settings. @public */
export interface ControlSettings {
	readonly self: Instance
	readonly instances: readonly Instance[]
	/** Listen address for operators. */
	readonly operators: Endpoint
	/** Address of the platform's worker list; absent if there is none. */
	readonly platform?: Endpoint
	/** Data folder; only set on an instance with a disk. */
	readonly data?: string
	readonly metrics?: Endpoint
	readonly logLevel: string
	readonly tls?: TlsFiles
	/** File of operators' tokens, with one `name: token` per line; absent for none. */
	readonly operatorTokens?: string
}

/** Unvalidated settings from flags and environment variables. @public */
export interface WrittenControlSettings {
	readonly id?: string
	readonly peers: readonly string[]
	readonly operators?: string
	readonly platform?: string
	readonly data?: string
	readonly metrics?: string
	readonly logLevel?: string
	readonly tlsAuthority?: string
	readonly tlsCertificate?: string
	readonly tlsKey?: string
	readonly operatorTokens?: string
}

/**
 * @param written - unvalidated settings.
 * @returns validated settings, or all findings.
 * @public
 */
export function checkControlSettings(
	written: WrittenControlSettings
): Result<ControlSettings, Finding[]> {
	const reader = new SettingsReader()
	const { self, instances } = reader.identity(written)
	if (self?.disk && !written.data) {
		reader.report('--data (RR_DATA)', `is missing, and ${self.id} has a disk`)
	}
	const operators = reader.endpoint('--operators (RR_OPERATORS)', written.operators)
	if (!operators && !written.operators) reader.report('--operators (RR_OPERATORS)', 'is missing')
	return reader.finish({
		self: self as Instance,
		instances,
		operators: operators as Endpoint,
		platform: reader.endpoint('--platform (RR_PLATFORM)', written.platform),
		data: self?.disk ? written.data : undefined,
		metrics: reader.endpoint('--metrics (RR_METRICS)', written.metrics),
		logLevel: reader.logLevel(written.logLevel),
		tls: reader.tlsFiles(written),
		operatorTokens: written.operatorTokens,
	})
}
