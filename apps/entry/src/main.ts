#!/usr/bin/env node
/** Command line entry point of `rr-entry`. */
import {
	resolvePeers,
	PROCESS_FLAGS,
	runCommand,
	runUntilStopped,
	settingFlag,
} from '@rillrudder/program'
import { command } from 'cmd-ts'
import { EntryProcess } from './lib/EntryProcess'
import { checkEntrySettings } from './lib/EntrySettings'

const entry = command({
	name: 'rr-entry',
	version: '0.1.0',
	description: 'Callers and endpoints of one instance',
	args: {
		...PROCESS_FLAGS,
		callers: settingFlag('callers', 'RR_CALLERS', 'host:port for callers'),
		stopDelay: settingFlag('stop-delay', 'RR_STOP_DELAY', 'ms to go on taking requests on a stop'),
	},
	handler: (flags) => {
		const settings = checkEntrySettings({ ...flags, peers: resolvePeers(flags.peers) })
		return runUntilStopped(settings, (checked) => new EntryProcess(checked))
	},
})

void runCommand(entry, process.argv.slice(2))
