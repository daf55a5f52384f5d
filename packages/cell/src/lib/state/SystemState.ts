/** The replicated state of the whole system: the configuration and its history. */
import { Buffer } from 'node:buffer'
import { StateMachine } from '@rillrudder/group'
import { invariant } from '@rillrudder/utils'
import { decodeSystemCommand, type SystemCommand } from '../commands/SystemCommand'
import { AuditTrail } from './AuditTrail'
import { OperatorAnswers, type OperatorAnswer } from './OperatorAnswers'

/** A configuration document and the revision it was accepted under. @public */
export interface Revision {
	readonly revision: number
	/** YAML. */
	readonly document: string
}

const SNAPSHOT_VERSION = 1

/**
 * The state of the whole system.
 *
 * @public
 */
export class SystemState extends StateMachine {
	readonly audit = new AuditTrail()
	readonly answers = new OperatorAnswers()
	/** Data centres that were declared down for good. */
	readonly down = new Set<string>()
	private accepted: Revision = { revision: 0, document: '' }

	/** @param notify - told after every command. */
	constructor(private readonly notify: (command: SystemCommand) => void = () => undefined) {
		super()
	}

	/** The configuration in force. */
	get current(): Revision {
		return this.accepted
	}

	override apply(bytes: Uint8Array, index: number): void {
		const command = decodeSystemCommand(bytes)
		if (!this.answers.find(command.request)) {
			const answer = command.kind === 'propose' ? this.propose(command) : this.declare(command)
			this.answers.keep(command.request, answer)
			const { at, operator, kind } = command
			const outcome = answer.accepted ? answer.message : `refused: ${answer.message}`
			this.audit.add({ index, at, who: operator, what: kind, subject: answer.subject, outcome })
		}
		this.notify(command)
	}

	override snapshot(): Uint8Array {
		return Buffer.from(
			JSON.stringify({
				version: SNAPSHOT_VERSION,
				accepted: this.accepted,
				down: [...this.down],
				audit: this.audit.save(),
				answers: this.answers.save(),
			})
		)
	}

	override restore(data: Uint8Array): void {
		const saved = JSON.parse(Buffer.from(data).toString())
		invariant(saved.version === SNAPSHOT_VERSION, 'a snapshot is of a known version')
		this.advance(saved.accepted)
		this.down.clear()
		for (const dataCentre of saved.down) this.down.add(dataCentre)
		this.audit.load(saved.audit)
		this.answers.load(saved.answers)
	}

	private propose(command: Extract<SystemCommand, { kind: 'propose' }>): OperatorAnswer {
		const subject = 'configuration'
		const { revision } = this.accepted
		if (command.replaces !== revision) {
			const message = `it replaces revision ${command.replaces}, but ${revision} is in force`
			return { accepted: false, message, subject, revision }
		}
		this.advance({ revision: revision + 1, document: command.document })
		return { accepted: true, message: 'accepted', subject, revision: revision + 1 }
	}

	private declare(command: Extract<SystemCommand, { kind: 'declare-down' }>): OperatorAnswer {
		this.down.add(command.dataCentre)
		return { accepted: true, message: 'declared down', subject: command.dataCentre }
	}

	private advance(next: Revision): void {
		invariant(next.revision >= this.accepted.revision, 'a revision is never lower', {
			from: this.accepted.revision,
			to: next.revision,
		})
		this.accepted = next
	}
}
