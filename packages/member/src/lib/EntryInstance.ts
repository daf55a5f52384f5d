/** An entry instance: keeps nothing, and brings calls to whoever leads. */
import type { CellCall, CellReply } from '@rillrudder/jobs'
import type { Event, PeerCall } from '@rillrudder/protocol'
import type { Log, Meter } from '@rillrudder/telemetry'
import type { Clock, Timer } from '@rillrudder/utils'
import type { Adviser } from './Adviser'
import { answerQuestion } from './PeerAdvisers'
import type { RetryLimits } from './LeaderCalls'
import { decodeCall } from './linkBodies'
import { ENTRY_NEWS_TTL_MS } from './LeaderView'
import { EntryLoad } from './load/EntryLoad'
import type { InstanceCapacity } from './load/InstanceCapacity'
import { MemberEvent } from './MemberEvent'
import { PeerLinks } from './PeerLinks'
import { peersForEntry } from './peersForEntry'

/** Milliseconds between two polls of whom to dial. */
const DIAL_PERIOD = 250
/** Milliseconds without a leader after which every instance of the core is dialled; a change takes less. */
const LEADERLESS = 700
const ID_PREFIX = 'entry/'

/** What an entry instance is made with. @public */
export interface EntryParts {
	readonly name: string
	/** Link addresses of instances of the core; they may change. */
	readonly seeds: () => readonly string[]
	readonly capacity: InstanceCapacity
	readonly clock: Clock
	readonly adviser: Adviser
	readonly log: Log
	readonly meter: Meter
}

/**
 * An entry instance.
 *
 * @public
 */
export class EntryInstance {
	private readonly links: PeerLinks
	private readonly load: EntryLoad
	private timer: Timer | undefined
	private toldLeader = ''
	/** When a leader was last known, on the instance's clock. */
	private ledAt = Number.NEGATIVE_INFINITY

	constructor(private readonly parts: EntryParts) {
		this.load = new EntryLoad({ ...parts, period: DIAL_PERIOD })
		this.links = new PeerLinks({
			self: ID_PREFIX + parts.name,
			newsTtl: ENTRY_NEWS_TTL_MS,
			clock: parts.clock,
			log: parts.log,
			meter: parts.meter,
			onEvent: (from, event) => this.receive(from, event),
			onPeerLost: () => this.noteLeader(),
		})
	}

	/** Whether new connections may come here: calls can be brought to a leader, and this instance isn't overloaded. */
	get isReady(): boolean {
		return this.knowsLeader && this.load.acceptsConnections
	}

	private get knowsLeader(): boolean {
		return (this.links.view.leader(this.parts.clock.now())?.via.length ?? 0) > 0
	}

	/** Links up. */
	start(): void {
		this.dial()
		this.timer = this.parts.clock.every(DIAL_PERIOD, () => this.tick())
	}

	/** Brings a call to the leader. */
	call(call: CellCall, finality: RetryLimits): Promise<CellReply> {
		return this.load.track(() => this.links.leaderCalls.call(call, finality))
	}

	/** Ends all links. */
	stop(): void {
		this.timer?.cancel()
		this.links.hub.close()
	}

	private receive(from: string, { body }: Event): void {
		if (!body) return
		if (body.$case === 'peerReply') this.links.calls.onReply(body.value)
		else if (body.$case === 'peerCall') this.peerCalled(from, body.value)
		else if (body.$case === 'cellNews') {
			this.links.view.update(from, body.value, this.parts.clock.now())
			this.noteLeader()
		}
	}

	private peerCalled(from: string, { id, body }: PeerCall): void {
		const call = decodeCall(body)
		if (call?.kind !== 'advise') {
			this.links.calls.reply(from, id, { kind: 'not-leader' })
			return
		}
		void answerQuestion(this.parts.adviser, call.question).then((reply) =>
			this.links.calls.reply(from, id, reply, this.load.report())
		)
	}

	private noteLeader(): void {
		if (this.knowsLeader) this.links.leaderCalls.onLeaderKnown()
		const known = this.links.view.leader(this.parts.clock.now())
		const leader = known?.id ?? ''
		if (leader === this.toldLeader) return
		this.toldLeader = leader
		this.parts.log.info(MemberEvent.LeaderChanged, { leader, term: known?.term ?? 0 })
	}

	private tick(): void {
		this.load.tick()
		this.dial()
	}

	private dial(): void {
		const { clock, seeds, name } = this.parts
		const { view } = this.links
		const now = clock.now()
		const leader = view.leader(now)
		if (leader) this.ledAt = now
		const lost = now - this.ledAt > LEADERLESS
		const known = lost ? undefined : { leader: leader?.id, heard: view.freshPeers(now) }
		this.links.dialOnly(peersForEntry(name, seeds(), view.members(), known))
	}
}
