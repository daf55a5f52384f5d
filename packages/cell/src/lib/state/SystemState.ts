/** The replicated state of the whole system: the configuration and its history. */
import { Buffer } from 'node:buffer'
import { StateMachine } from '@rillrudder/group'
import { NO_REVISION, type Fence, type KeptRevision } from '@rillrudder/settings'
import { exhaustive, invariant } from '@rillrudder/utils'
import { decodeSystemCommand, type SystemCommand } from '../commands/SystemCommand'
import { AuditTrail } from './AuditTrail'
import { OperatorAnswers, type OperatorAnswer } from './OperatorAnswers'

const SNAPSHOT_VERSION = 1

/**
 * The state of the whole system.
 *
 * @public
 */
export class SystemState extends StateMachine {
	readonly audit = new AuditTrail()
	readonly answers = new OperatorAnswers()
	private accepted: KeptRevision = NO_REVISION

	/** @param notify - called with every command after it was applied. */
	constructor(private readonly notify: (command: SystemCommand) => void = () => undefined) {
		super()
	}

	/** The configuration in force. */
	get current(): KeptRevision {
		return this.accepted
	}

	override apply(bytes: Uint8Array, index: number): void {
		const command = decodeSystemCommand(bytes)
		if (!this.answers.find(command.request)) {
			const answer = this.carryOut(command)
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
				audit: this.audit.save(),
				answers: this.answers.save(),
			})
		)
	}

	override restore(data: Uint8Array): void {
		const saved = JSON.parse(Buffer.from(data).toString())
		invariant(saved.version === SNAPSHOT_VERSION, 'the snapshot version is supported')
		this.advance(saved.accepted)
		this.audit.load(saved.audit)
		this.answers.load(saved.answers)
	}

	private carryOut(command: SystemCommand): OperatorAnswer {
		switch (command.kind) {
			case 'propose':
				return this.propose(command)
			case 'declare-down':
				return this.declare(command.dataCentre, true)
			case 'declare-up':
				return this.declare(command.dataCentre, false)
			default:
				return exhaustive(command)
		}
	}

	private propose(command: Extract<SystemCommand, { kind: 'propose' }>): OperatorAnswer {
		const subject = 'configuration'
		const { revision } = this.accepted
		if (command.replaces !== revision) {
			const message = `it replaces revision ${command.replaces}, but ${revision} is in force`
			return { accepted: false, message, subject, revision }
		}
		const { fences } = this.accepted
		this.advance({ revision: revision + 1, document: command.document, fences })
		return { accepted: true, message: 'accepted', subject, revision: revision + 1 }
	}

	/** A fence is a revision of its own, so that it is distributed and stored like any other revision. */
	private declare(dataCentre: string, down: boolean): OperatorAnswer {
		const { document, fences } = this.accepted
		const revision = this.accepted.revision + 1
		const known = fences.find((fence) => fence.dataCentre === dataCentre)
		const fence: Fence = { dataCentre, down, revision: down ? revision : (known?.revision ?? 0) }
		const others = fences.filter((one) => one !== known)
		this.advance({ revision, document, fences: [...others, fence] })
		const message = down ? 'declared down' : 'declared up'
		return { accepted: true, message, subject: dataCentre, revision }
	}

	private advance(next: KeptRevision): void {
		invariant(next.revision >= this.accepted.revision, 'a revision is never lower', {
			from: this.accepted.revision,
			to: next.revision,
		})
		this.accepted = next
	}
}
