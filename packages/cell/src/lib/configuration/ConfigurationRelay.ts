/**
 * Distributes the configuration to every process. An instance with a disk stores a revision before it
 * offers it inside its data centre, so that an instance without a disk never receives a lower revision
 * after a restart.
 */
import type { Event } from '@rillrudder/protocol'
import type { KeptRevision } from '@rillrudder/settings'
import type { Clock, Timer } from '@rillrudder/utils'

const OFFER_INTERVAL_MS = 500
/** How long a voter that knows no leader offers nothing after its start, since it may be outdated. */
const STARTUP_QUIET_MS = 5000

/** The dependencies of a relay. @public */
export interface ConfigurationRelayParts {
	readonly clock: Clock
	readonly send: (to: string, event: Event) => boolean
	/** Connected processes. */
	readonly peers: () => Iterable<string>
	/** Whether this instance offers revisions to a peer. */
	readonly shouldServe: (peer: string) => boolean
	/** Whether this instance knows that its revision is up to date. */
	readonly isCurrent: () => boolean
	readonly current: () => KeptRevision
}

/**
 * Offers the configuration to peers and tracks which revision each of them has in force.
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

	/** The revision that each process has acknowledged. */
	get revisions(): ReadonlyMap<string, number> {
		return this.acknowledged
	}

	/** Offers a new revision immediately, and acknowledges to all peers that it is in force here. */
	onRevisionChanged(): void {
		this.offerToAll()
		for (const peer of this.parts.peers()) this.sendAcknowledgement(peer)
	}

	/** Handles a new connection to a peer. */
	onPeerConnected(peer: string): void {
		this.sendAcknowledgement(peer)
		this.offer(peer)
	}

	/** Handles the loss of a peer; its revision is no longer known. */
	onPeerLost(peer: string): void {
		this.acknowledged.delete(peer)
	}

	/** Handles a peer's acknowledgement of the revision that it has in force. */
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
