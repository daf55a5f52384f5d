/** The flags that every process of the system takes. */
import { array, multioption, option, optional, string } from 'cmd-ts'

/**
 * @param long - the flag's name.
 * @param env - the environment variable that stands in for it.
 * @param description - for `--help`.
 * @returns an optional text flag; checks come later, with all findings together.
 * @public
 */
export function settingFlag(long: string, env: string, description: string) {
	return option({ type: optional(string), long, env, description })
}

/** Who a process is, whom it knows, and how it reports. @public */
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
 * @returns those, or else what the environment variable names.
 * @public
 */
export function resolvePeers(given: readonly string[]): readonly string[] {
	return given.length > 0 ? given : [process.env.RR_PEERS ?? '']
}
