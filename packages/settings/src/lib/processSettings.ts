/** What every process of the system is told by flags and environment variables. */
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

/** The part of the settings that tells a process who it is. @public */
export interface WrittenIdentity {
	readonly id?: string
	readonly peers: readonly string[]
}

/** The part of the settings that names TLS files. @public */
export interface WrittenTls {
	readonly tlsAuthority?: string
	readonly tlsCertificate?: string
	readonly tlsKey?: string
}

/** Who a process is among its peers. @public */
export interface Identity {
	/** Absent when that was reported as wrong. */
	readonly self?: Instance
	readonly instances: readonly Instance[]
}

const LOG_LEVELS = ['debug', 'info', 'warn', 'error', 'silent']
const DEFAULT_LOG_LEVEL = 'info'

/** Collects findings while settings are read. @public */
export class SettingsReader {
	readonly findings: Finding[] = []

	/** Notes that something is wrong with a setting. */
	report(setting: string, message: string): void {
		this.findings.push({ place: { source: setting, path: '' }, message })
	}

	/** @returns the text, reporting when it is missing. */
	required(setting: string, value: string | undefined): string {
		if (value === undefined || value === '') this.report(setting, 'is missing')
		return value ?? ''
	}

	/** @returns host and port, reporting when they are not. */
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

	/** @returns the instances, reporting what is wrong with them. */
	instances(setting: string, written: readonly string[]): Instance[] {
		const texts = written.flatMap((text) => text.split(/[;\s]+/)).filter((text) => text !== '')
		if (texts.length === 0) this.report(setting, 'is missing')
		const read = parseInstances(setting, texts)
		if (read.ok) return read.value
		this.findings.push(...read.error)
		return []
	}

	/** @returns who the process is, reporting when that can't be told. */
	identity(written: WrittenIdentity): Identity {
		const id = this.required('--id (RR_ID)', written.id)
		const instances = this.instances('--peer (RR_PEERS)', written.peers)
		const self = instances.find((one) => one.id === id)
		if (id !== '' && instances.length > 0 && !self) {
			this.report('--id (RR_ID)', `"${id}" is not among the peers`)
		}
		return { self, instances }
	}

	/** @returns the level below which log lines are left out, reporting one that there is not. */
	logLevel(written: string | undefined): string {
		const level = written ?? DEFAULT_LOG_LEVEL
		if (!LOG_LEVELS.includes(level)) {
			this.report('--log-level (RR_LOG_LEVEL)', `"${level}" is none of ${LOG_LEVELS.join(', ')}`)
		}
		return level
	}

	/** @returns all three files or none, reporting anything between. */
	tlsFiles(written: WrittenTls): TlsFileNames | undefined {
		const { tlsAuthority, tlsCertificate, tlsKey } = written
		if (!tlsAuthority && !tlsCertificate && !tlsKey) return undefined
		if (!tlsAuthority || !tlsCertificate || !tlsKey) {
			this.report('--tls-*', 'authority, certificate and key go together')
			return undefined
		}
		return { authority: tlsAuthority, certificate: tlsCertificate, key: tlsKey }
	}

	/** @returns the settings if nothing was wrong, or all findings. */
	finish<Settings>(settings: Settings): Result<Settings, Finding[]> {
		return this.findings.length === 0 ? success(settings) : failure(this.findings)
	}
}
