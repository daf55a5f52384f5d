/** The state machine to which a group's committed entries are applied. */

/**
 * A deterministic state machine: the same entries give the same state on every replica.
 *
 * @public
 */
export abstract class StateMachine {
	/**
	 * Applies one committed command.
	 *
	 * @param command - the encoded command.
	 * @param index - its index in the log, the same on every replica.
	 */
	abstract apply(command: Uint8Array, index: number): void

	/** @returns the encoded state, as of the last applied command. */
	abstract snapshot(): Uint8Array

	/** @param data - a state encoded by `snapshot`, here or on another replica. */
	abstract restore(data: Uint8Array): void
}
