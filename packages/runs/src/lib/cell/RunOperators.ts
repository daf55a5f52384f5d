/** The operators of a run: they race each other with equal numbers, send again, plan, confirm, cancel. */
import type { OperatorCall, OperatorReply } from '@rillrudder/cell'
import { dataCentresOf, SYSTEM_GROUP } from '@rillrudder/settings'
import { invariant } from '@rillrudder/utils'
import type { CellRun } from './CellRun'

const EVERY = 700
const HOMES = ['isani', 'saburtalo', 'vake']
const MOVED = ['batumi', 'agents', 'bank']
const IMPOSSIBLE_SHARE = 0.1

/** What operators did. @public */
export interface OperatorTally {
	proposed: number
	accepted: number
	refused: number
	plans: number
	confirmed: number
	cancelled: number
	impossible: number
}

/**
 * The operators of a run.
 *
 * @internal
 */
export class RunOperators {
	readonly tally: OperatorTally = {
		proposed: 0,
		accepted: 0,
		refused: 0,
		plans: 0,
		confirmed: 0,
		cancelled: 0,
		impossible: 0,
	}
	/** The highest revision that an operator was told is accepted. */
	accepted = 0
	/** Who was told that they replaced a revision; only one may be. */
	private readonly winners = new Map<number, string>()
	private readonly confirmedIntents: { dataCentre: string; name: string }[] = []
	private active = false
	private begun = false
	private requests = 0

	constructor(private readonly run: CellRun) {}

	start(): void {
		this.active = true
		if (this.begun) return
		this.begun = true
		this.run.clock.every(EVERY, () => {
			if (this.active) this.act()
		})
	}

	stop(): void {
		this.active = false
	}

	/** Two operators propose in place of the same revision at the same time, each twice. */
	race(): void {
		const replaces = Math.max(...this.run.instances.map((one) => one.control.revision))
		for (const operator of ['nino', 'omar']) {
			const document = this.document()
			const request = this.name()
			const call = { kind: 'propose', operator, request, replaces, document } as const
			for (let sending = 0; sending < 2; sending++) this.propose(call, replaces)
		}
	}

	/** Cancels everything that runs. */
	cancelAll(): void {
		for (const { dataCentre, name } of this.confirmedIntents.splice(0)) {
			const call = { kind: 'cancel', operator: 'nino', request: this.name(), intent: name } as const
			this.call(dataCentre, call, (reply) => {
				if (reply.code === 200) this.tally.cancelled += 1
			})
		}
	}

	/** What was confirmed and not cancelled is known to the leader of its data centre. */
	check(): void {
		for (const { dataCentre, name } of this.confirmedIntents) {
			for (const { control, controlProcess } of this.run.instances) {
				const driver = control.drivers.get(dataCentre)
				if (!controlProcess.alive || !driver?.leads) continue
				const known = driver.state.tasks.ofIntent(name).length > 0
				invariant(known, 'what was confirmed is kept', { dataCentre, name })
			}
		}
	}

	private act(): void {
		const draw = this.run.random.fraction()
		if (draw < 0.3) this.race()
		else if (draw < 0.9) this.planAndConfirm()
		else this.cancelAll()
	}

	private propose(call: Extract<OperatorCall, { kind: 'propose' }>, replaces: number): void {
		this.tally.proposed += 1
		this.call(SYSTEM_GROUP, call, (reply) => {
			if (reply.code !== 200) {
				this.tally.refused += 1
				return
			}
			this.tally.accepted += 1
			this.accepted = Math.max(this.accepted, replaces + 1)
			const winner = this.winners.get(replaces) ?? call.request
			invariant(winner === call.request, 'of two equal proposals one wins', { replaces })
			this.winners.set(replaces, winner)
		})
	}

	private planAndConfirm(): void {
		const { random } = this.run
		const dataCentre = random.pick(dataCentresOf(this.run.instances.map((one) => one.instance)))
		const name = `intent-${++this.requests}`
		const call = {
			kind: 'plan',
			operator: 'omar',
			request: this.name(),
			document: this.intent(name),
		} as const
		this.tally.plans += 1
		this.call(dataCentre, call, (reply) => {
			if (reply.code !== 200) {
				this.tally.impossible += 1
				return
			}
			const { subject } = reply.content as { subject: string }
			this.confirm(dataCentre, name, subject)
		})
	}

	private confirm(dataCentre: string, name: string, plan: string): void {
		const call = { kind: 'confirm', operator: 'omar', request: this.name(), plan } as const
		this.call(dataCentre, call, (reply) => {
			if (reply.code !== 200) return
			this.tally.confirmed += 1
			this.confirmedIntents.push({ dataCentre, name })
		})
	}

	/** Calls any instance that is up; what gets no answer is not asked again here. */
	private call(group: string, call: OperatorCall, reply: (reply: OperatorReply) => void): void {
		const { random, instances } = this.run
		const up = instances.filter((one) => one.controlProcess.alive)
		if (up.length === 0) return
		const { control, controlProcess } = random.pick(up)
		controlProcess.act(controlProcess.life, () => control.call(group, call, reply))
	}

	private intent(name: string): string {
		const { random } = this.run
		const kind = random.pick(['service', 'batch', 'gang'])
		const tasks = random.integer(1, 4)
		const cpu = random.chance(IMPOSSIBLE_SHARE) ? 64 : random.pick([0.25, 0.5, 1, 2])
		const urgent = random.chance(0.2)
		const run = kind === 'service' ? '[serve]' : `[sleep, '${random.integer(500, 8000)}']`
		return [
			`{ kind: ${kind}, name: ${name}, team: team-${random.integer(1, 3)}, tasks: ${tasks},`,
			`each: { cpu: ${cpu}, memory: 512Mi }, urgent: ${urgent},`,
			`checkpoints: ${random.chance(0.5)}, command: ${run} }`,
		].join(' ')
	}

	/** A configuration that moves some homes. */
	private document(): string {
		const { random } = this.run
		const customers = MOVED.map((name) => `{ name: ${name}, home: ${random.pick(HOMES)} }`)
		return `{ customers: [${customers.join(', ')}], teams: [] }`
	}

	private name(): string {
		this.requests += 1
		return `${String(this.requests).padStart(8, '0')}-request`
	}
}
