/**
 * An operator who changes the configuration all the time, and reads each change back once it is
 * acknowledged. Calls that get no answer are made again.
 */
import type { CellConfiguration } from '@rillrudder/jobs'
import { invariant, type Clock } from '@rillrudder/utils'
import type { SendCall } from './StatusPolls'

/** Milliseconds between an acknowledged change and the next one. */
const CHANGE_INTERVAL_MS = 1000
/** Milliseconds after which a call without an answer is made again. */
const RETRY_MS = 900
/** Milliseconds within which a change has to be acknowledged. */
const MAX_ACKNOWLEDGEMENT_MS = 5000
/** Milliseconds within which an acknowledged change has to be read back. */
const MAX_READ_MS = 2500

const Phase = { Changing: 'changing', Reading: 'reading', Resting: 'resting' } as const
type Phase = (typeof Phase)[keyof typeof Phase]

/**
 * The operator of a run.
 *
 * @internal
 */
export class ConfigurationProbe {
	/** Number of changes that were acknowledged and read back. */
	confirmed = 0
	private phase: Phase = Phase.Resting
	private since: number
	private calledAt = Number.NEGATIVE_INFINITY
	private version = 0
	private configuration: CellConfiguration | undefined

	/**
	 * @param clock - the run's clock.
	 * @param call - sends a call to the leader.
	 * @param next - makes the next configuration.
	 */
	constructor(
		private readonly clock: Clock,
		private readonly call: SendCall,
		private readonly next: () => CellConfiguration
	) {
		this.since = clock.now()
	}

	/** Makes the calls that are due. @throws InvariantBroken when one takes too long. */
	tick(): void {
		const now = this.clock.now()
		const elapsed = now - this.since
		if (this.phase === Phase.Resting && elapsed >= CHANGE_INTERVAL_MS) this.startChange(now)
		if (this.phase === Phase.Resting || now - this.calledAt < RETRY_MS) return
		const limit = this.phase === Phase.Changing ? MAX_ACKNOWLEDGEMENT_MS : MAX_READ_MS
		const rule = 'a configuration is acknowledged and read back in time'
		invariant(elapsed <= limit, rule, { phase: this.phase, elapsed })
		this.calledAt = now
		if (this.phase === Phase.Changing) this.change()
		else this.read()
	}

	private startChange(now: number): void {
		this.configuration = this.next()
		this.version = this.configuration.version
		this.enter(Phase.Changing, now)
	}

	private change(): void {
		const { configuration, version } = this
		if (!configuration) return
		this.call({ kind: 'configure', configuration }, ({ kind }) => {
			if (kind !== 'noted' || this.phase !== Phase.Changing || version !== this.version) return
			this.enter(Phase.Reading, this.clock.now())
		})
	}

	private read(): void {
		const { version } = this
		this.call({ kind: 'read-configuration' }, (reply) => {
			if (this.phase !== Phase.Reading || version !== this.version) return
			if (reply.kind !== 'configuration') return
			const held = reply.configuration.version
			invariant(held >= version, 'no older configuration is read back', { held, version })
			this.confirmed += 1
			this.enter(Phase.Resting, this.clock.now())
		})
	}

	private enter(phase: Phase, now: number): void {
		this.phase = phase
		this.since = now
		this.calledAt = Number.NEGATIVE_INFINITY
	}
}
