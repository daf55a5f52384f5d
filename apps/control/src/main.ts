#!/usr/bin/env node
/** `rr-control`, the program. */
import { runCommand, runUntilStopped } from '@rillrudder/program'
import { command, multioption, array, option, optional, string } from 'cmd-ts'
import { ControlProcess } from './lib/ControlProcess'
import { checkControlSettings } from './lib/ControlSettings'

const setting = (long: string, env: string, description: string) =>
	option({ type: optional(string), long, env, description })

const control = command({
	name: 'rr-control',
	version: '0.1.0',
	description: 'Groups, decisions and the operator API of one instance',
	args: {
		id: setting('id', 'RR_ID', 'name of this instance, one of the peers'),
		peers: multioption({
			type: array(string),
			long: 'peer',
			description: 'id@data-centre=host:port[,disk], one for each instance (RR_PEERS, parted by ;)',
		}),
		operators: setting('operators', 'RR_OPERATORS', 'host:port for operators'),
		platform: setting('platform', 'RR_PLATFORM', 'host:port of the list of workers'),
		data: setting('data', 'RR_DATA', 'data folder, on an instance with a disk'),
		metrics: setting('metrics', 'RR_METRICS', 'host:port of a StatsD server'),
		logLevel: setting('log-level', 'RR_LOG_LEVEL', 'debug, info, warn, error or silent'),
		tlsAuthority: setting('tls-authority', 'RR_TLS_AUTHORITY', 'PEM file of who signs peers'),
		tlsCertificate: setting('tls-certificate', 'RR_TLS_CERTIFICATE', 'PEM file'),
		tlsKey: setting('tls-key', 'RR_TLS_KEY', 'PEM file'),
		operatorTokens: setting('operator-tokens', 'RR_OPERATOR_TOKENS', 'file of name: token lines'),
	},
	handler: (flags) => {
		const peers = flags.peers.length > 0 ? flags.peers : [process.env.RR_PEERS ?? '']
		const settings = checkControlSettings({ ...flags, peers })
		return runUntilStopped(settings, (checked) => new ControlProcess(checked))
	},
})

void runCommand(control, process.argv.slice(2))
