#!/usr/bin/env node
/** Command line entry point of `rr-control`. */
import {
	resolvePeers,
	PROCESS_FLAGS,
	runCommand,
	runUntilStopped,
	settingFlag,
} from '@rillrudder/program'
import { command } from 'cmd-ts'
import { ControlProcess } from './lib/ControlProcess'
import { checkControlSettings } from './lib/ControlSettings'

const control = command({
	name: 'rr-control',
	version: '0.1.0',
	description: 'Groups, decisions and the operator API of one instance',
	args: {
		...PROCESS_FLAGS,
		operators: settingFlag('operators', 'RR_OPERATORS', 'host:port for operators'),
		platform: settingFlag('platform', 'RR_PLATFORM', 'host:port of the list of workers'),
		data: settingFlag('data', 'RR_DATA', 'data folder, on an instance with a disk'),
		operatorTokens: settingFlag(
			'operator-tokens',
			'RR_OPERATOR_TOKENS',
			'file of name: token lines'
		),
	},
	handler: (flags) => {
		const settings = checkControlSettings({ ...flags, peers: resolvePeers(flags.peers) })
		return runUntilStopped(settings, (checked) => new ControlProcess(checked))
	},
})

void runCommand(control, process.argv.slice(2))
