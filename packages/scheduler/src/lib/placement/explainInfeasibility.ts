/** Explains why an intent can never run, so that it is refused at once. */
import type { Intent } from '@rillrudder/settings'
import type { Ledger } from '../capacity/Ledger'
import { fits, times, type Resources } from '../capacity/Resources'

/**
 * Checks whether an intent could run in an empty data centre.
 *
 * @param ledger - the workers.
 * @param intent - the intent.
 * @param quota - its team's quota, if it has one.
 * @returns the reasons why it can never run; empty if it can.
 * @public
 */
export function explainInfeasibility(ledger: Ledger, intent: Intent, quota?: Resources): string[] {
	const reasons: string[] = []
	let copies = 0
	for (const worker of ledger.all()) copies += countCopies(intent.each, worker.capacity)
	if (copies === 0) {
		reasons.push(`no worker is large enough for one task (${describe(intent.each)})`)
	} else if (intent.kind === 'gang' && copies < intent.tasks) {
		reasons.push(
			`the gang needs ${intent.tasks} tasks at once; an empty data centre holds ${copies}`
		)
	}
	const together = intent.kind === 'gang' ? intent.tasks : 1
	if (quota && !fits(times(intent.each, together), quota)) {
		const what = together === 1 ? 'one task' : 'the gang'
		reasons.push(`${what} is more than the quota of team ${intent.team}`)
	}
	return reasons
}

function countCopies(need: Resources, capacity: Resources): number {
	if (!fits(need, capacity)) return 0
	const cpu = need.cpu > 0 ? capacity.cpu / need.cpu : Number.POSITIVE_INFINITY
	const memory = need.memory > 0 ? capacity.memory / need.memory : Number.POSITIVE_INFINITY
	const accelerators =
		need.accelerators > 0 ? capacity.accelerators / need.accelerators : Number.POSITIVE_INFINITY
	return Math.floor(Math.min(cpu, memory, accelerators, Number.MAX_SAFE_INTEGER))
}

function describe(need: Resources): string {
	const parts = [`${need.cpu}m processors`, `${need.memory}Mi memory`]
	if (need.accelerators > 0) parts.push(`${need.accelerators} accelerators`)
	return parts.join(', ')
}
