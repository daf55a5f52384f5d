/** The flags that every process of the system accepts. */
import { array, multioption, option, optional, string } from 'cmd-ts'

/**
 * @param long - the flag's name.
 * @param env - the environment variable that is used if the flag is absent.
 * @param description - the text for `--help`.
 * @returns an optional text flag; it is validated later, so that all findings are reported together.
 * @public
 */
export function settingFlag(long: string, env: string, description: string) {
	return option({ type: optional(string), long, env, description })
}

/** Flags for the identity of a process, its peers, metrics, log and TLS files. @public */
export const PROCESS_FLAGS = {
	id: settingFlag('id', 'RR_ID', 'name of this instance, one of the peers'),
	peers: multioption({
		type: array(string),
		long: 'peer',
		description: 'id@data-centre=host:port[,disk], one for each instance (RR_PEERS, parted by ;)',
	}),
	metrics: settingFlag('metrics', 'RR_METRICS', 'host:port of a StatsD server'),
	logLevel: settingFlag('log-level', 'RR_LOG_LEVEL', 'debug, info, warn, error or silent'),
	tlsAuthority: settingFlag('tls-authority', 'RR_TLS_AUTHORITY', 'PEM file of who signs peers'),
	tlsCertificate: settingFlag('tls-certificate', 'RR_TLS_CERTIFICATE', 'PEM file'),
	tlsKey: settingFlag('tls-key', 'RR_TLS_KEY', 'PEM file'),
}

/**
 * @param given - peers from flags.
 * @returns the peers from flags, or the value of `RR_PEERS` if there are none.
 * @public
 */
export function resolvePeers(given: readonly string[]): readonly string[] {
	return given.length > 0 ? given : [process.env.RR_PEERS ?? '']
}
