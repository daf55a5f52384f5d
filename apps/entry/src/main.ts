#!/usr/bin/env node
/** `rr-entry`, the program. */
import { runCommand, runUntilStopped } from '@rillrudder/program'
import { array, command, multioption, option, optional, string } from 'cmd-ts'
import { EntryProcess } from './lib/EntryProcess'
import { checkEntrySettings } from './lib/EntrySettings'

const setting = (long: string, env: string, description: string) =>
	option({ type: optional(string), long, env, description })

const entry = command({
	name: 'rr-entry',
	version: '0.1.0',
	description: 'Callers and endpoints of one instance',
	args: {
		id: setting('id', 'RR_ID', 'name of this instance, one of the peers'),
		peers: multioption({
			type: array(string),
			long: 'peer',
			description: 'id@data-centre=host:port[,disk], one for each instance (RR_PEERS, parted by ;)',
		}),
		callers: setting('callers', 'RR_CALLERS', 'host:port for callers'),
		metrics: setting('metrics', 'RR_METRICS', 'host:port of a StatsD server'),
		logLevel: setting('log-level', 'RR_LOG_LEVEL', 'debug, info, warn, error or silent'),
		tlsAuthority: setting('tls-authority', 'RR_TLS_AUTHORITY', 'PEM file of who signs peers'),
		tlsCertificate: setting('tls-certificate', 'RR_TLS_CERTIFICATE', 'PEM file'),
		tlsKey: setting('tls-key', 'RR_TLS_KEY', 'PEM file'),
		stopDelay: setting('stop-delay', 'RR_STOP_DELAY', 'ms to go on taking requests on a stop'),
	},
	handler: (flags) => {
		const peers = flags.peers.length > 0 ? flags.peers : [process.env.RR_PEERS ?? '']
		const settings = checkEntrySettings({ ...flags, peers })
		return runUntilStopped(settings, (checked) => new EntryProcess(checked))
	},
})

void runCommand(entry, process.argv.slice(2))
