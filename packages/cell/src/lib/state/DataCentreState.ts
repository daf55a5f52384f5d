/** The replicated state of one data centre: the result of applying the commands of its log. */
import { Buffer } from 'node:buffer'
import { StateMachine } from '@rillrudder/group'
import { exhaustive, invariant } from '@rillrudder/utils'
import {
	decodeDataCentreCommand,
	type CommandOf,
	type DataCentreCommand,
} from '../commands/DataCentreCommand'
import { AuditTrail } from './AuditTrail'
import { HomeTable } from './HomeTable'
import { OperatorAnswers, type OperatorAnswer } from './OperatorAnswers'
import { RequestPhase, RequestTable, type RequestRecord } from './RequestTable'
import { hasEnded, PlanPhase, TaskTable, TaskPhase } from './TaskTable'
import { WorkerTable } from './WorkerTable'

/** A command and whether it had an effect. @public */
export interface AppliedCommand {
	readonly command: DataCentreCommand
	readonly index: number
	readonly hasEffect: boolean
}

/** Version of the snapshot format; snapshots of other versions are refused. */
const SNAPSHOT_VERSION = 1
const SYSTEM = 'system'

/**
 * The state of one data centre.
 *
 * @public
 */
export class DataCentreState extends StateMachine {
	readonly requests = new RequestTable()
	readonly workers = new WorkerTable()
	readonly tasks = new TaskTable()
	readonly homes = new HomeTable()
	readonly audit = new AuditTrail()
	readonly answers = new OperatorAnswers()
	/** Version of the state that plans depend on: grows with every change of workers or active intents. */
	ground = 0

	/** @param notify - called with every command after it was applied. */
	constructor(private readonly notify: (applied: AppliedCommand) => void = () => undefined) {
		super()
	}

	override apply(bytes: Uint8Array, index: number): void {
		const command = decodeDataCentreCommand(bytes)
		const hasEffect = this.carryOut(command, index)
		this.notify({ command, index, hasEffect })
	}

	override snapshot(): Uint8Array {
		return Buffer.from(
			JSON.stringify({
				version: SNAPSHOT_VERSION,
				ground: this.ground,
				requests: this.requests.save(),
				workers: this.workers.save(),
				tasks: this.tasks.save(),
				homes: this.homes.save(),
				audit: this.audit.save(),
				answers: this.answers.save(),
			})
		)
	}

	override restore(data: Uint8Array): void {
		const saved = JSON.parse(Buffer.from(data).toString())
		invariant(saved.version === SNAPSHOT_VERSION, 'the snapshot version is supported')
		this.ground = saved.ground
		this.requests.load(saved.requests)
		this.workers.load(saved.workers)
		this.tasks.load(saved.tasks)
		this.homes.load(saved.homes)
		this.audit.load(saved.audit)
		this.answers.load(saved.answers)
	}

	private carryOut(command: DataCentreCommand, index: number): boolean {
		switch (command.kind) {
			case 'admit':
				return this.admit(command)
			case 'start':
				return this.start(command, index)
			case 'unstart':
				return this.endAttempt(command, () => this.requests.unstart(command))
			case 'park':
				return this.requests.park(command)
			case 'finish':
				return this.endAttempt(command, () => this.requests.finish(command))
			case 'forget':
				this.requests.forget(command)
				return true
			case 'lend':
				return this.workers.lend(command, index)
			case 'worker':
				return this.changeWorker(command, index)
			case 'plan':
				return this.propose(command, index)
			case 'confirm':
				return this.confirm(command, index)
			case 'reject':
				return this.reject(command, index)
			case 'cancel':
				return this.cancel(command, index)
			case 'drain':
				return this.drain(command, index)
			case 'place':
				return this.place(command, index)
			case 'unplace':
				return this.unplace(command)
			case 'throttle':
				return this.throttle(command)
			case 'close-home':
				return this.closeHome(command, index)
			case 'open-home':
				return this.openHome(command, index)
			default:
				return exhaustive(command)
		}
	}

	private admit(command: CommandOf<'admit'>): boolean {
		if (this.homes.isClosed(command.customer)) return false
		this.requests.admit(command)
		return true
	}

	private start(command: CommandOf<'start'>, index: number): boolean {
		if (this.requests.head(command.customer)?.phase !== RequestPhase.Admitted) return false
		if (!this.workers.takeSlot(command.worker)) return false
		const hasEffect = this.requests.start(command, index)
		if (!hasEffect) this.workers.freeSlot(command.worker)
		return hasEffect
	}

	/** Ends an attempt and releases its slot. */
	private endAttempt(command: CommandOf<'finish' | 'unstart'>, end: () => boolean): boolean {
		const record = this.requests.find(command.customer, command.key)
		const worker = record?.phase === RequestPhase.Started ? record.worker : ''
		const hasEffect = end()
		if (hasEffect && worker !== '') this.workers.freeSlot(worker)
		return hasEffect
	}

	private changeWorker(command: CommandOf<'worker'>, index: number): boolean {
		this.workers.set(command)
		this.ground += 1
		const { at, id, state, reason } = command
		const outcome = reason === '' ? state : `${state}: ${reason}`
		this.audit.add({ index, at, who: SYSTEM, what: 'worker', subject: id, outcome })
		return true
	}

	private propose(command: CommandOf<'plan'>, index: number): boolean {
		return this.applyOnce(command, index, command.id, () => {
			this.tasks.propose(command)
			const possible = command.impossible.length === 0
			const message = possible ? 'planned' : `impossible: ${command.impossible.join('; ')}`
			return { accepted: possible, message, subject: command.id }
		})
	}

	private confirm(command: CommandOf<'confirm'>, index: number): boolean {
		return this.applyOnce(command, index, command.plan, () => {
			const subject = command.plan
			const plan = this.tasks.plan(command.plan)
			if (!plan) return { accepted: false, message: 'no such plan', subject }
			if (plan.phase === PlanPhase.Confirmed) {
				return { accepted: true, message: 'already confirmed', subject }
			}
			if (plan.phase === PlanPhase.Rejected || plan.impossible.length > 0) {
				return { accepted: false, message: 'the plan was rejected or is impossible', subject }
			}
			if (plan.ground !== this.ground && command.verified !== this.ground) {
				return { accepted: false, message: 'the plan is stale; ask for a fresh one', subject }
			}
			if (this.tasks.isActive(plan.intent.name)) {
				return { accepted: false, message: 'an intent of this name still runs', subject }
			}
			this.tasks.confirm(plan, command.at)
			this.ground += 1
			return { accepted: true, message: `${plan.intent.tasks} tasks confirmed`, subject }
		})
	}

	private reject(command: CommandOf<'reject'>, index: number): boolean {
		return this.applyOnce(command, index, command.plan, () => {
			const subject = command.plan
			const plan = this.tasks.plan(command.plan)
			if (!plan) return { accepted: false, message: 'no such plan', subject }
			if (plan.phase === PlanPhase.Confirmed) {
				return { accepted: false, message: 'the plan was confirmed before', subject }
			}
			plan.phase = PlanPhase.Rejected
			return { accepted: true, message: 'rejected', subject }
		})
	}

	private cancel(command: CommandOf<'cancel'>, index: number): boolean {
		return this.applyOnce(command, index, command.intent, () => {
			const subject = command.intent
			const open = this.tasks.ofIntent(command.intent).filter((record) => !hasEnded(record))
			if (open.length === 0) {
				return { accepted: false, message: 'nothing of that intent is left to cancel', subject }
			}
			for (const record of open) this.tasks.cancel(record)
			this.ground += 1
			return { accepted: true, message: `${open.length} tasks cancelled`, subject }
		})
	}

	private drain(command: CommandOf<'drain'>, index: number): boolean {
		return this.applyOnce(command, index, command.worker, () => {
			const subject = command.worker
			const worker = this.workers.find(command.worker)
			if (!worker) return { accepted: false, message: 'no such worker', subject }
			const reason = `drained by ${command.operator}`
			const { id, address, rack, capacity, slots } = worker
			const state = 'leaving'
			const at = command.at
			this.workers.set({ kind: 'worker', id, address, rack, capacity, slots, state, reason, at })
			this.ground += 1
			return { accepted: true, message: 'takes no new work', subject }
		})
	}

	private place(command: CommandOf<'place'>, index: number): boolean {
		const record = this.tasks.find(command.task)
		if (record?.phase !== TaskPhase.Waiting) return false
		if (!this.workers.reserve(command.worker, command.reserved)) return false
		this.tasks.place(record, command, index)
		return true
	}

	private unplace(command: CommandOf<'unplace'>): boolean {
		const record = this.tasks.find(command.task)
		if (record?.phase !== TaskPhase.Placed || record.worker !== command.worker) return false
		if (record.reserved) this.workers.release(record.worker, record.reserved)
		this.tasks.unplace(record, command)
		return true
	}

	private throttle(command: CommandOf<'throttle'>): boolean {
		const record = this.tasks.find(command.task)
		if (!record?.reserved || command.cpu >= record.reserved.cpu) return false
		const freed = { cpu: record.reserved.cpu - command.cpu, memory: 0, accelerators: 0 }
		this.workers.release(record.worker, freed)
		record.reserved = { ...record.reserved, cpu: command.cpu }
		return true
	}

	private closeHome(command: CommandOf<'close-home'>, index: number): boolean {
		return this.applyOnce(command, index, command.customer, () => {
			const { customer, to, revision } = command
			const hasEffect = this.homes.close(customer, to, revision)
			const message = hasEffect ? `home moves to ${to}` : 'a newer move stands'
			return { accepted: hasEffect, message, subject: customer }
		})
	}

	private openHome(command: CommandOf<'open-home'>, index: number): boolean {
		const { customer, revision, at, without } = command
		if (!this.homes.open(customer, revision)) return false
		this.requests.addFromPreviousHome(command.records as RequestRecord[])
		const missing = without.length === 0 ? '' : `, without ${without.join(', ')}, declared down`
		const outcome = `home opened${missing}`
		this.audit.add({ index, at, who: SYSTEM, what: 'open-home', subject: customer, outcome })
		return true
	}

	/** Applies an operator's command once, however often it is sent. */
	private applyOnce(
		command: CommandOf<'plan' | 'confirm' | 'reject' | 'cancel' | 'drain' | 'close-home'>,
		index: number,
		subject: string,
		act: () => OperatorAnswer
	): boolean {
		const known = this.answers.find(command.request)
		if (known) return known.accepted
		const answer = act()
		this.answers.keep(command.request, answer)
		const { at, operator, kind } = command
		const outcome = answer.accepted ? answer.message : `refused: ${answer.message}`
		this.audit.add({ index, at, who: operator, what: kind, subject, outcome })
		return answer.accepted
	}
}
