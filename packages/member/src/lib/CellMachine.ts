/** Applies committed entries to the cell's state, and tells when each one has been applied. */
import { StateMachine } from '@rillrudder/group'
import type { CellState } from '@rillrudder/jobs'

/**
 * The cell's state as the group drives it.
 *
 * @internal
 */
export class CellMachine extends StateMachine {
	/** Told after each entry while set. */
	onApplied: (() => void) | undefined

	/** @param state - the state. */
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
