#!/usr/bin/env node
/** Runs a cell on loopback, sends it a short mixed day, and prints what happened. */
import { ExitCode, runCommand } from '@rillrudder/program'
import { SEVEN_INSTANCES } from '@rillrudder/fakes'
import { dataCentresOf } from '@rillrudder/settings'
import { Random, SystemClock } from '@rillrudder/utils'
import { command, flag, number, option } from 'cmd-ts'
import { FakeFleet, TODAYS_WORKERS } from './lib/FakeFleet'
import { LocalCell } from './lib/LocalCell'
import { MixedDay } from './lib/MixedDay'

async function demo(once: boolean, seed: number, verbose: boolean): Promise<ExitCode | undefined> {
	const clock = new SystemClock()
	const dataCentres = dataCentresOf(SEVEN_INSTANCES.map((one) => ({ ...one, address: '' })))
	const fleet = new FakeFleet({ ...TODAYS_WORKERS, lag: 200, dataCentres, seed }, clock)
	await fleet.start()
	const write = verbose ? (line: string) => void process.stderr.write(`${line}\n`) : undefined
	const cell = new LocalCell(SEVEN_INSTANCES, fleet.platformAddress, clock, write)
	await cell.start()
	process.stdout.write(
		`A cell of ${cell.instances.length} instances and 30 workers; seed ${seed}\n`
	)
	process.stdout.write(`${await new MixedDay(cell, fleet, clock, new Random(seed)).run()}\n`)
	if (once) {
		await cell.stop()
		fleet.stop()
		return ExitCode.Done
	}
	printAddresses(cell)
	process.on('SIGINT', () => {
		void cell.stop().then(() => process.exit(ExitCode.Done))
	})
	return undefined
}

function printAddresses(cell: LocalCell): void {
	const { entry, control } = cell.instances[0]
	process.stdout.write(
		[
			'',
			'It stays up; Ctrl-C ends it. Try:',
			`  curl -i -H 'Rillrudder-Customer: batumi-council' http://${entry.callerAddress}/tally`,
			`  curl -i -X POST -H 'Rillrudder-Customer: batumi-council' -H 'Idempotency-Key: k1' -d '{}' http://${entry.callerAddress}/signature`,
			`  npx rrctl status --at ${control.operatorAddress}`,
			`  npx rrctl tasks --at ${control.operatorAddress} --data-centre vake`,
			`  npx rrctl audit --at ${control.operatorAddress} --data-centre vake`,
			'',
		].join('\n')
	)
}

const program = command({
	name: 'rillrudder-demo',
	version: '0.1.0',
	description: 'A cell of seven instances and thirty fake workers on loopback',
	args: {
		once: flag({ long: 'once', description: 'end after the report' }),
		verbose: flag({ long: 'verbose', description: 'print the log lines of all processes' }),
		seed: option({ type: number, long: 'seed', defaultValue: () => 1 }),
	},
	handler: ({ once, seed, verbose }) => demo(once, seed, verbose),
})

void runCommand(program, process.argv.slice(2)).then(() => {
	if (process.argv.includes('--once')) process.exit()
})
