/** Applies committed entries to the cell's state and notifies a listener after each one. */
import { StateMachine } from '@rillrudder/group'
import type { CellState } from '@rillrudder/jobs'

/**
 * The replicated state machine over the cell's state.
 *
 * @internal
 */
export class CellMachine extends StateMachine {
	/** Called after each applied entry while set. */
	onApplied: (() => void) | undefined

	constructor(private readonly state: CellState) {
		super()
	}

	override apply(command: Uint8Array): void {
		this.state.apply(command)
		this.onApplied?.()
	}

	override snapshot(): Uint8Array {
		return this.state.snapshot()
	}

	override restore(data: Uint8Array): void {
		this.state.restore(data)
	}
}
