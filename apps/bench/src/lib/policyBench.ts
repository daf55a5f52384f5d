/** The policy beside plain baselines, on the same arrivals and mishaps. */
import { Random } from '@rillrudder/utils'
import { round, type Measurement, type Row } from './figures'
import { BaselinePolicy, FirstFit, LeastLoaded, RandomFeasible } from './policy/BaselinePolicy'
import { OurPolicy } from './policy/OurPolicy'
import type { Policy } from './policy/Policy'
import { Scenario, type Mishaps, type ScenarioResult } from './policy/Scenario'

const PLAIN: Mishaps = {
	name: 'normal day',
	load: 0.9,
	wrongBy: 1,
	failing: 0,
	rackLost: false,
	cancelWave: false,
}

const SCENARIOS: readonly Mishaps[] = [
	PLAIN,
	{ ...PLAIN, name: 'run times wrong by 3', wrongBy: 3 },
	{ ...PLAIN, name: 'a tenth of workers fail', failing: 0.1 },
	{ ...PLAIN, name: 'a rack lost', rackLost: true },
	{ ...PLAIN, name: 'Friday peak', load: 1.5 },
	{ ...PLAIN, name: 'peak and cancel wave', load: 1.5, cancelWave: true },
]

/** @returns the measurement; notes say where a baseline did better. */
export function policyBench(seed: number): Measurement {
	const rows: Row[] = []
	const notes: string[] = []
	for (const mishaps of SCENARIOS) {
		const results = policies(seed).map((policy) => new Scenario(policy, mishaps, seed).run())
		for (const result of results) rows.push(rowOf(mishaps, result))
		notes.push(...compare(mishaps, results))
	}
	return {
		title: 'Policy: 100 workers, 15 minutes of arrivals, against baselines on the same arrivals',
		seed,
		rows,
		bars: [],
		notes,
	}
}

function policies(seed: number): Policy[] {
	return [
		new OurPolicy(seed),
		new BaselinePolicy(new RandomFeasible(new Random(seed))),
		new BaselinePolicy(new FirstFit()),
		new BaselinePolicy(new LeastLoaded()),
	]
}

function rowOf(mishaps: Mishaps, result: ScenarioResult): Row {
	return {
		name: `${mishaps.name}: ${result.policy}`,
		figures: {
			'wait s p50': round(result.waitP50),
			p99: round(result.waitP99),
			'service p99': round(result.serviceP99),
			'urgent p99': round(result.urgentP99),
			'gang p50': round(result.gangP50),
			'gang p99': round(result.gangP99),
			'deadlines missed': `${round(result.missed * 100)}%`,
			packed: `${round(result.packed * 100)}%`,
			'us a decision': round(result.microseconds),
			started: result.started,
		},
	}
}

/** Says where a baseline did better on waiting, deadlines or packing. */
function compare(mishaps: Mishaps, [ours, ...others]: ScenarioResult[]): string[] {
	const notes: string[] = []
	const look = (figure: keyof ScenarioResult, higherIsBetter: boolean, slack: number): void => {
		for (const other of others) {
			const mine = Number(ours[figure])
			const theirs = Number(other[figure])
			const better = higherIsBetter ? theirs > mine + slack : theirs < mine - slack
			if (!better) continue
			notes.push(
				`${mishaps.name}: ${other.policy} does better on ${figure}: ${round(theirs)} to ${round(mine)}`
			)
		}
	}
	look('waitP50', false, 0.25)
	look('waitP99', false, 0.5)
	look('serviceP99', false, 0.5)
	look('urgentP99', false, 0.5)
	look('gangP99', false, 0.5)
	look('missed', false, 0.005)
	look('packed', true, 0.005)
	return notes
}
