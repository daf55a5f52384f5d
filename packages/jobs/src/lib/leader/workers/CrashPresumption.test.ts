/** When an unreachable worker counts as crashed, across leaders whose wall clocks differ. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Log } from '@rillrudder/telemetry'
import { ManualClock } from '@rillrudder/utils'
import type { CellCommand } from '../../commands/CellCommand'
import type { UndecidedWorker } from '../../state/SilentWorkerIndex'
import type { LeaderContext } from '../LeaderContext'
import { DEFAULT_LEADER_TIMING } from '../LeaderTiming'
import { CrashPresumption } from './CrashPresumption'

const { crashPresumption } = DEFAULT_LEADER_TIMING
const TICK_MS = 20
const CHECK_MS = 200
/** How far the wall clocks of two leaders may differ. */
const SKEW_MS = 5000

class Leadership {
	readonly clock = new ManualClock()
	readonly proposed: CellCommand[] = []
	private confirm: (() => void)[] = []
	private readonly presumption: CrashPresumption

	constructor(private readonly undecided: (started: number, now: number) => UndecidedWorker[]) {
		const started = this.clock.date().getTime()
		const context = {
			clock: this.clock,
			timing: DEFAULT_LEADER_TIMING,
			state: { jobs: this.jobsSince(started) },
			log: new Log('test', this.clock, 'silent', () => undefined),
			proposals: {
				propose: (command: CellCommand, done: () => void) => {
					this.proposed.push(command)
					this.confirm.push(done)
				},
			},
		}
		this.presumption = new CrashPresumption(context as unknown as LeaderContext)
	}

	private jobsSince(started: number): { readonly undecidedWorkers: UndecidedWorker[] } {
		const read = (): UndecidedWorker[] => this.undecided(started, this.clock.now())
		return {
			get undecidedWorkers() {
				return read()
			},
		}
	}

	/** @returns after how many milliseconds a proposal was made; `span` if none was. */
	run(span: number): number {
		const since = this.clock.now()
		const before = this.proposed.length
		while (this.clock.now() - since < span && this.proposed.length === before) {
			this.presumption.tick(this.clock.now())
			this.clock.advance(TICK_MS)
		}
		return this.clock.now() - since
	}

	commit(): void {
		for (const done of this.confirm) done()
		this.confirm = []
	}
}

function assertAround(actual: number, expected: number): void {
	assert.ok(actual >= expected && actual <= expected + CHECK_MS + TICK_MS, `${actual} ms`)
}

test('a worker counts as crashed once it has been unreachable for long, also under the next leader', () => {
	const silences = [0, 3000, crashPresumption]
	for (const silence of silences) {
		const leadership = new Leadership((started) => [{ worker: 'w1', since: started - silence }])
		assertAround(leadership.run(60_000), crashPresumption - silence)
	}
})

test('a leader whose clock is behind, or which does not know the time, waits no longer than one wait', () => {
	const times = [(started: number) => started + SKEW_MS, () => undefined]
	for (const since of times) {
		const leadership = new Leadership((started) => [{ worker: 'w1', since: since(started) }])
		assertAround(leadership.run(60_000), crashPresumption)
	}
})

test('workers whose time is over are proposed together, and again only after the commit', () => {
	const leadership = new Leadership((started, now) => [
		{ worker: 'w1', since: started },
		{ worker: 'w2', since: started },
		...(now < 1000 ? [] : [{ worker: 'w3', since: started + 1000 }]),
	])
	leadership.run(60_000)
	assert.deepEqual(
		leadership.proposed.map((command) => 'workers' in command && command.workers),
		[['w1', 'w2']]
	)
	assert.equal(leadership.run(2000), 2000, 'the proposal is pending')
	leadership.commit()
	assert.ok(leadership.run(2000) < 2000)
})
