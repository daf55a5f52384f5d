/** `npm run bench`: the measurements that speed is judged by. */
import { ExitCode, runCommand } from '@rillrudder/program'
import { array, command, flag, multioption, number, option, string } from 'cmd-ts'
import { isMet, print, type Measurement } from './lib/figures'
import { groupBench } from './lib/groupBench'
import { pathBench } from './lib/pathBench'
import { placementBench } from './lib/placementBench'
import { policyBench } from './lib/policyBench'
import { stateBench } from './lib/stateBench'

type Bench = (seed: number) => Measurement | Promise<Measurement>

const BENCHES: { readonly [name: string]: Bench } = {
	placement: placementBench,
	policy: policyBench,
	groups: groupBench,
	state: stateBench,
	path: pathBench,
}

const bench = command({
	name: 'bench',
	version: '0.1.0',
	description: 'Measure placement, policy, groups and the real path',
	args: {
		only: multioption({
			type: array(string),
			long: 'only',
			description: Object.keys(BENCHES).join(', '),
		}),
		seed: option({ type: number, long: 'seed', defaultValue: () => 1 }),
		json: flag({ long: 'json', description: 'a JSON object a line, for programs' }),
	},
	handler: async ({ only, seed, json }) => {
		const names = only.length > 0 ? only : Object.keys(BENCHES)
		let allMet = true
		for (const name of names) {
			if (!BENCHES[name]) {
				process.stderr.write(`there is no bench ${name}\n`)
				return ExitCode.Usage
			}
			const measurement = await BENCHES[name](seed)
			print(measurement, json)
			allMet &&= measurement.bars.every(isMet)
		}
		return allMet ? ExitCode.Done : ExitCode.Failed
	},
})

void runCommand(bench, process.argv.slice(2)).then(() => process.exit())
