/** Handles operators' calls to a data centre: plans, confirmations, cancellations, drains, queries. */
import { formatFinding } from '@rillrudder/utils'
import { parseIntent, type Intent } from '@rillrudder/settings'
import type { CommandOf, DataCentreCommand } from '../commands/DataCentreCommand'
import type { DataCentreState } from '../state/DataCentreState'
import {
	PlanPhase,
	TaskPhase,
	type PlanRecord,
	type PlanStep,
	type TaskRecord,
} from '../state/TaskTable'
import type { Effects, Moment } from './Effects'
import type { OperatorCall, OperatorReply } from './operatorCalls'
import type { PlanController } from './PlanController'

const MAX_LISTED_TASKS = 5000

/** Receives the reply to a call. @public */
export type ReplyCallback = (reply: OperatorReply) => void

type OperatorCommand = Extract<DataCentreCommand, { request: string }>

/**
 * The leader's controller for operators.
 *
 * @internal
 */
export class OperatorController {
	/** Callbacks that wait for a command to be committed, by request id. */
	private readonly replies = new Map<string, ReplyCallback[]>()

	constructor(
		private readonly state: DataCentreState,
		private readonly plans: PlanController,
		private readonly effects: Effects,
		private readonly whyWaiting: (task: string) => string | undefined
	) {}

	/** Rejects waiting calls. Operators call again and get the stored answer. */
	clear(): void {
		for (const waiting of this.replies.values()) {
			for (const reply of waiting) reply({ code: 503, message: 'leadership has moved; ask again' })
		}
		this.replies.clear()
	}

	/** Handles a call. */
	onCall(call: OperatorCall, moment: Moment, reply: ReplyCallback): void {
		const known = this.state.answers.find(call.request)
		if (known) {
			this.sendStoredAnswer(call.request, reply)
			return
		}
		const { operator, request } = call
		const part = { operator, request, at: moment.at }
		switch (call.kind) {
			case 'plan':
				return this.plan(call, moment, reply)
			case 'confirm':
				return this.confirm(call, moment, reply)
			case 'reject':
				return this.commit({ kind: 'reject', ...part, plan: call.plan }, reply)
			case 'cancel':
				return this.commit({ kind: 'cancel', ...part, intent: call.intent }, reply)
			case 'drain':
				return this.commit({ kind: 'drain', ...part, worker: call.worker }, reply)
			case 'explain':
				return reply(this.explain(call.task))
			case 'tasks':
				return reply(this.tasks(call.intent))
			case 'workers':
				return reply({ code: 200, message: '', content: [...this.state.workers.all()] })
			case 'audit':
				return reply({ code: 200, message: '', content: this.state.audit.select(call) })
			case 'propose':
			case 'declare-down':
			case 'declare-up':
			case 'take-home':
				return reply({ code: 400, message: 'this is for the system group' })
		}
	}

	/** Handles the commit of an operator's command. */
	onCommitted(command: OperatorCommand): void {
		const waiting = this.replies.get(command.request) ?? []
		this.replies.delete(command.request)
		for (const reply of waiting) this.sendStoredAnswer(command.request, reply)
	}

	private plan(
		call: Extract<OperatorCall, { kind: 'plan' }>,
		moment: Moment,
		reply: ReplyCallback
	) {
		const parsed = parseIntent('intent', call.document)
		if (!parsed.ok) {
			const content = { findings: parsed.error }
			reply({ code: 422, message: parsed.error.map(formatFinding).join('\n'), content })
			return
		}
		this.commit(this.planCommand(parsed.value, call, moment), reply)
	}

	private planCommand(
		intent: Intent,
		call: { operator: string; request: string },
		moment: Moment
	): CommandOf<'plan'> {
		const id = `p${moment.term}-${call.request.slice(0, 8)}`
		const draft = this.plans.draft(intent, id)
		const { operator, request } = call
		const { ground } = this.state
		return { kind: 'plan', operator, request, at: moment.at, id, intent, ground, ...draft }
	}

	/** Confirms a plan. If its ground has changed, a new draft must result in the same steps. */
	private confirm(
		call: Extract<OperatorCall, { kind: 'confirm' }>,
		moment: Moment,
		reply: ReplyCallback
	): void {
		const plan = this.state.tasks.plan(call.plan)
		const { operator, request } = call
		const { ground } = this.state
		if (plan?.phase === PlanPhase.Proposed && plan.ground !== ground) {
			const fresh = this.plans.draft(plan.intent, plan.id)
			if (summarizeSteps(fresh) !== summarizeSteps(plan)) {
				this.replanStale(plan, call, moment, reply)
				return
			}
		}
		const at = moment.at
		const verified = ground
		this.commit({ kind: 'confirm', operator, request, at, plan: call.plan, verified }, reply)
	}

	private replanStale(
		plan: PlanRecord,
		call: { operator: string; request: string },
		moment: Moment,
		reply: ReplyCallback
	): void {
		const request = `${call.request}-fresh`
		const command = this.planCommand(plan.intent, { operator: call.operator, request }, moment)
		this.commit({ ...command, id: `${command.id}-${this.state.ground}` }, (fresh) =>
			reply({
				code: 409,
				message: 'the plan is stale; here is a fresh one',
				content: fresh.content,
			})
		)
	}

	private commit(command: OperatorCommand, reply: ReplyCallback): void {
		const waiting = this.replies.get(command.request)
		if (waiting) {
			waiting.push(reply)
			return
		}
		this.replies.set(command.request, [reply])
		this.effects.commands.push(command)
	}

	private sendStoredAnswer(request: string, reply: ReplyCallback): void {
		const answer = this.state.answers.find(request)
		if (!answer) {
			reply({ code: 503, message: 'the answer is not known; ask again' })
			return
		}
		const plan = this.state.tasks.plan(answer.subject)
		const content = plan ? { ...answer, plan } : answer
		reply({ code: answer.accepted ? 200 : 409, message: answer.message, content })
	}

	private explain(id: string): OperatorReply {
		const record = this.state.tasks.find(id)
		if (!record) return { code: 404, message: `no task ${id} is known`, content: undefined }
		const waiting = record.phase === TaskPhase.Waiting ? this.whyWaiting(id) : undefined
		const content = { ...describe(record), waiting, history: record.history }
		return { code: 200, message: '', content }
	}

	private tasks(intent: string | undefined): OperatorReply {
		const records = intent ? this.state.tasks.ofIntent(intent) : [...this.state.tasks.all()]
		const content = records.slice(0, MAX_LISTED_TASKS).map(describe)
		return { code: 200, message: '', content }
	}
}

function describe(record: TaskRecord) {
	const { task, phase, worker, reserved } = record
	const { id, intent, team, kind } = task
	return { id, intent, team, kind, phase, worker, reserved }
}

/** Counts tasks by action. Workers are left out, since they may differ between equivalent plans. */
function summarizeSteps(plan: { readonly steps: readonly PlanStep[] }): string {
	const counts = new Map<string, number>()
	for (const step of plan.steps) {
		const [, first, last] = /(\d+)(?:-(\d+))?$/.exec(step.task) ?? []
		const count = Number(last ?? first) - Number(first) + 1
		counts.set(step.action, (counts.get(step.action) ?? 0) + count)
	}
	return JSON.stringify([...counts].sort())
}
