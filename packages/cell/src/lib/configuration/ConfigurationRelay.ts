/**
 * Carries the configuration to every process. An instance with a disk keeps a revision before it hands
 * it on inside its data centre, so that an instance without one is never shown a lower one after it has
 * restarted.
 */
import type { Event } from '@rillrudder/protocol'
import type { KeptRevision } from '@rillrudder/settings'
import type { Clock, Timer } from '@rillrudder/utils'

const OFFER_INTERVAL_MS = 500
/** How long a voter that hears no leader keeps quiet after its start: it may be behind. */
const STARTUP_QUIET_MS = 5000

/** What a relay works with. @public */
export interface ConfigurationRelayParts {
	readonly clock: Clock
	readonly send: (to: string, event: Event) => boolean
	/** Processes that are connected now. */
	readonly peers: () => Iterable<string>
	/** Whether this instance hands revisions on to a peer. */
	readonly shouldServe: (peer: string) => boolean
	/** Whether this instance knows that it is not behind. */
	readonly isCurrent: () => boolean
	readonly current: () => KeptRevision
}

/**
 * Hands the configuration on, and knows who has which revision.
 *
 * @public
 */
export class ConfigurationRelay {
	private readonly acknowledged = new Map<string, number>()
	private readonly startedAt: number
	private readonly timer: Timer

	constructor(private readonly parts: ConfigurationRelayParts) {
		this.startedAt = parts.clock.now()
		this.timer = parts.clock.every(OFFER_INTERVAL_MS, () => this.offerToAll())
	}

	/** Which revision each process has said to have in force. */
	get revisions(): ReadonlyMap<string, number> {
		return this.acknowledged
	}

	/** Offers a new revision at once, and tells everybody that it is in force here. */
	onRevisionChanged(): void {
		this.offerToAll()
		for (const peer of this.parts.peers()) this.sendAcknowledgement(peer)
	}

	/** A peer has come. */
	onPeerConnected(peer: string): void {
		this.sendAcknowledgement(peer)
		this.offer(peer)
	}

	/** A peer has gone; what it had is no longer known. */
	onPeerLost(peer: string): void {
		this.acknowledged.delete(peer)
	}

	/** A peer says what it has in force. */
	onAcknowledgement(peer: string, revision: number): void {
		this.acknowledged.set(peer, revision)
	}

	stop(): void {
		this.timer.cancel()
	}

	private offerToAll(): void {
		for (const peer of this.parts.peers()) this.offer(peer)
	}

	private offer(peer: string): void {
		const { revision, document, fences } = this.parts.current()
		if (revision === 0 || !this.parts.shouldServe(peer) || !this.canOffer()) return
		if ((this.acknowledged.get(peer) ?? 0) >= revision) return
		const value = { revision, document: Buffer.from(document), fences: [...fences] }
		this.parts.send(peer, { body: { $case: 'configurationOffer', value } })
	}

	private sendAcknowledgement(peer: string): void {
		const { revision } = this.parts.current()
		this.parts.send(peer, { body: { $case: 'configurationAck', value: { revision } } })
	}

	private canOffer(): boolean {
		return this.parts.isCurrent() || this.parts.clock.now() - this.startedAt > STARTUP_QUIET_MS
	}
}
