/** Reads the flags and environment variables that all processes of the system share. */
import { failure, success, type Finding, type Result } from '@rillrudder/utils'
import { parseInstances, type Instance } from './instances'

/** An address to listen on or to call. @public */
export interface Endpoint {
	readonly host: string
	readonly port: number
}

/** Names of the PEM files for mutual TLS. @public */
export interface TlsFileNames {
	readonly authority: string
	readonly certificate: string
	readonly key: string
}

/** Unvalidated settings that identify a process and its peers. @public */
export interface WrittenIdentity {
	readonly id?: string
	readonly peers: readonly string[]
}

/** Unvalidated settings that name the TLS files. @public */
export interface WrittenTls {
	readonly tlsAuthority?: string
	readonly tlsCertificate?: string
	readonly tlsKey?: string
}

/** The instance that a process belongs to, and all instances. @public */
export interface Identity {
	/** Absent if it could not be determined; a finding was reported then. */
	readonly self?: Instance
	readonly instances: readonly Instance[]
}

const LOG_LEVELS = ['debug', 'info', 'warn', 'error', 'silent']
const DEFAULT_LOG_LEVEL = 'info'

/** Validates settings and collects findings. @public */
export class SettingsReader {
	readonly findings: Finding[] = []

	/** Adds a finding for a setting. */
	report(setting: string, message: string): void {
		this.findings.push({ place: { source: setting, path: '' }, message })
	}

	/** @returns the value; reports a finding if it is missing. */
	required(setting: string, value: string | undefined): string {
		if (value === undefined || value === '') this.report(setting, 'is missing')
		return value ?? ''
	}

	/** @returns host and port, or undefined if absent or invalid; reports a finding if invalid. */
	endpoint(setting: string, value: string | undefined): Endpoint | undefined {
		if (value === undefined || value === '') return undefined
		const match = /^(.+):(\d{1,5})$/.exec(value)
		const port = Number(match?.[2])
		if (!match || port > 65_535) {
			this.report(setting, `"${value}" is not host:port`)
			return undefined
		}
		return { host: match[1], port }
	}

	/** @returns the instances; reports a finding for each invalid one. */
	instances(setting: string, written: readonly string[]): Instance[] {
		const texts = written.flatMap((text) => text.split(/[;\s]+/)).filter((text) => text !== '')
		if (texts.length === 0) this.report(setting, 'is missing')
		const read = parseInstances(setting, texts)
		if (read.ok) return read.value
		this.findings.push(...read.error)
		return []
	}

	/** @returns the identity of the process; reports a finding if it can't be determined. */
	identity(written: WrittenIdentity): Identity {
		const id = this.required('--id (RR_ID)', written.id)
		const instances = this.instances('--peer (RR_PEERS)', written.peers)
		const self = instances.find((one) => one.id === id)
		if (id !== '' && instances.length > 0 && !self) {
			this.report('--id (RR_ID)', `"${id}" is not among the peers`)
		}
		return { self, instances }
	}

	/** @returns the minimum level of log lines; reports a finding if the level is unknown. */
	logLevel(written: string | undefined): string {
		const level = written ?? DEFAULT_LOG_LEVEL
		if (!LOG_LEVELS.includes(level)) {
			this.report('--log-level (RR_LOG_LEVEL)', `"${level}" is none of ${LOG_LEVELS.join(', ')}`)
		}
		return level
	}

	/** @returns the TLS files, or undefined if none is set; reports a finding if only some are. */
	tlsFiles(written: WrittenTls): TlsFileNames | undefined {
		const { tlsAuthority, tlsCertificate, tlsKey } = written
		if (!tlsAuthority && !tlsCertificate && !tlsKey) return undefined
		if (!tlsAuthority || !tlsCertificate || !tlsKey) {
			this.report('--tls-*', 'authority, certificate and key go together')
			return undefined
		}
		return { authority: tlsAuthority, certificate: tlsCertificate, key: tlsKey }
	}

	/** @returns the settings if there are no findings, otherwise all findings. */
	finish<Settings>(settings: Settings): Result<Settings, Finding[]> {
		return this.findings.length === 0 ? success(settings) : failure(this.findings)
	}
}
