/**
 * A whole session, told step by step: callers, operators, the platform and faults act at set moments
 * on a clock moved by hand, and everything that is answered or changes is written down. The transcript
 * is kept beside the code, so that a person can read what a change of the code changes.
 */
import type { OperatorCall, OperatorReply } from '@rillrudder/cell'
import { CellRun, type RunInstance } from './CellRun'
import type { RunCall, RunReply } from './RunEntry'

const NO_FAULTS = 0
const NO_CALLERS = 0.000_001

/**
 * A session and its transcript.
 *
 * @example
 * ```ts
 * const session = new Session('a day', 1)
 * session.request('vake-1', { customer: 'batumi', key: 's1', body: 'signature' })
 * session.pass(1000)
 * console.log(session.transcript)
 * ```
 * @public
 */
export class Session {
	private readonly run: CellRun
	private readonly lines: string[] = []
	private readonly leaders = new Map<string, string>()
	private readonly revisions = new Map<string, number>()
	private readonly tasks = new Map<string, string>()
	private requests = 0

	/**
	 * @param title - the first line.
	 * @param seed - of the run.
	 */
	constructor(title: string, seed: number) {
		this.run = new CellRun({ seed, faultRate: NO_FAULTS, requestRate: NO_CALLERS })
		this.lines.push(`# ${title}`)
		this.observe()
	}

	/** Everything that was answered or changed so far. */
	get transcript(): string {
		return `${this.lines.join('\n')}\n`
	}

	/** Lets time pass. */
	pass(span: number): void {
		const end = this.run.clock.now() + span
		while (this.run.clock.now() < end) {
			this.run.advance(Math.min(50, end - this.run.clock.now()))
			this.observe()
		}
	}

	/** Writes a heading. */
	say(text: string): void {
		this.lines.push('', `## ${text}`)
	}

	/** A caller sends a request to an entry instance. */
	request(
		instance: string,
		call: { customer: string; key: string; body: string; repeatable?: boolean; timeout?: number }
	): void {
		const { customer, key, body, repeatable = false, timeout = 4000 } = call
		const full: RunCall = { customer, key, body, repeatable, timeout, callersKey: true }
		this.note(`caller ${customer}/${key} at ${instance}: ${body}`)
		const told = (reply: RunReply): void => {
			const what = reply.problem ? `${reply.outcome} (${reply.problem})` : reply.outcome
			this.note(`  ${customer}/${key} at ${instance}: ${what}`)
		}
		this.find(instance).entry.take(full, told)
	}

	/** An operator calls any instance. */
	operate(
		instance: string,
		group: string,
		call: { kind: OperatorCall['kind']; operator: string } & { [field: string]: unknown },
		then: (reply: OperatorReply) => void = () => undefined
	): void {
		this.requests += 1
		const request = `${String(this.requests).padStart(8, '0')}-request`
		const full = { request, ...call } as OperatorCall
		this.note(`operator ${call.operator} at ${instance}: ${call.kind} for ${group}`)
		this.find(instance).control.call(group, full, (reply) => {
			this.note(`  ${call.operator}: ${reply.code} ${reply.message.split('\n')[0]}`)
			this.notePlan(reply)
			then(reply)
		})
	}

	/** Plans an intent and confirms the plan. */
	planAndConfirm(instance: string, group: string, document: string): void {
		const operator = 'omar'
		this.operate(instance, group, { kind: 'plan', operator, document }, (reply) => {
			if (reply.code !== 200) return
			const { subject } = reply.content as { subject: string }
			this.operate(instance, group, { kind: 'confirm', operator, plan: subject })
		})
	}

	/** Something goes wrong. */
	kill(instance: string): void {
		const one = this.find(instance)
		this.note(`control process of ${instance} is killed`)
		one.controlProcess.kill()
		this.run.network.leave(one.controlProcess.id)
	}

	/** A killed process starts again. */
	restart(instance: string): void {
		this.note(`control process of ${instance} starts`)
		this.run.startControl(this.find(instance))
	}

	/** A control process is stopped as planned. */
	stop(instance: string): void {
		this.note(`control process of ${instance} hands over and stops`)
		this.find(instance).control.handOver()
		this.pass(500)
		this.kill(instance)
	}

	/** A data centre is cut off from the others. */
	cutOff(dataCentre: string, span: number): void {
		this.note(`${dataCentre} is cut off for ${span / 1000} s`)
		this.run.faults.cutDataCentre(dataCentre, span)
	}

	/** A worker begins to leave. */
	leave(worker: string): void {
		this.note(`${worker} begins to leave`)
		const found = this.run.workers.find(worker)
		if (!found) return
		found.leftAt = this.run.clock.now()
		found.model.settings.leaving = true
	}

	/** Checks in the end what a run checks. */
	finish(): void {
		const executions = this.run.workers.executions().filter((one) => !one.repeatable)
		const keys = new Set(executions.map((one) => `${one.customer}/${one.key}`))
		this.say('in the end')
		this.note(`${executions.length} executions that are not repeatable, of ${keys.size} keys`)
		this.run.operators.check()
	}

	/** Writes down which leaders, revisions and tasks have changed. */
	private observe(): void {
		for (const one of this.run.instances) {
			if (!one.controlProcess.alive) continue
			for (const [name, driver] of one.control.drivers) {
				if (driver.leads) this.noteChange(this.leaders, name, one.instance.id, 'is led by')
			}
			this.noteRevision(one.instance.id, one.control.revision)
			this.noteRevision(`${one.instance.id}/entry`, one.entry.revision)
		}
		const running = new Map<string, string>()
		for (const worker of this.run.workers.all) {
			for (const task of worker.model.tasks) running.set(task, worker.listed.id)
		}
		for (const [task, worker] of running) this.noteChange(this.tasks, task, worker, 'runs on')
		for (const task of [...this.tasks.keys()]) {
			if (running.has(task)) continue
			this.tasks.delete(task)
			this.note(`task ${task} no longer runs`)
		}
	}

	private noteChange(known: Map<string, string>, name: string, value: string, verb: string): void {
		if (known.get(name) === value) return
		known.set(name, value)
		this.note(`${name} ${verb} ${value}`)
	}

	private noteRevision(process: string, revision: number): void {
		if ((this.revisions.get(process) ?? 0) === revision) return
		this.revisions.set(process, revision)
		this.note(`${process} has configuration ${revision}`)
	}

	private notePlan(reply: OperatorReply): void {
		const { plan } = (reply.content ?? {}) as {
			plan?: { steps: { action: string; task: string; where: string; why: string }[] }
		}
		for (const step of plan?.steps ?? []) {
			this.note(`    ${step.action} ${step.task} ${step.where} (${step.why})`)
		}
	}

	private note(text: string): void {
		const at = (this.run.clock.now() / 1000).toFixed(2).padStart(8)
		this.lines.push(`${at} ${text}`)
	}

	private find(instance: string): RunInstance {
		return this.run.instances.find((one) => one.instance.id === instance) as RunInstance
	}
}
