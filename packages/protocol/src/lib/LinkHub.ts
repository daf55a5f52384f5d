/** One long-lived stream to every peer: some are dialled, others dial in. */
import {
	Server,
	type ChannelCredentials,
	type ClientDuplexStream,
	type ServerCredentials,
	type ServerDuplexStream,
} from '@grpc/grpc-js'
import type { Clock, Timer } from '@rillrudder/utils'
import { LinkClient, LinkService, type Event, type Parcel } from './generated/rillrudder/v1/link'
import { Outbox, PROTOCOL_VERSION } from './Outbox'

/** Milliseconds before a lost peer is dialled again; doubled each time. */
const FIRST_RETRY = 100
/** The longest of these pauses, unless the hub is made with another. */
const LONGEST_RETRY = 2000
/**
 * Milliseconds that a new connection may take to its first parcel before another one is tried. TCP repeats a
 * lost opening packet only after a second, by which time a machine that was off may long be back.
 */
const FIRST_PATIENCE = 300
/** What the patience is multiplied by after each try, for peers that are only slow. */
const PATIENCE_GROWTH = 1.5
/** Milliseconds to which looks for connections that are silent for too long are rounded up. */
const WATCH_STEP = 100
const MOST_MESSAGE_BYTES = 16 * 1024 * 1024
/** Bytes that a peer may send on a dialled link before they are read; by default a busy process sends 64 KiB a turn. */
const LINK_WINDOW = 1024 * 1024
const CHANNEL_OPTIONS = {
	'grpc-node.flow_control_window': LINK_WINDOW,
	'grpc.keepalive_time_ms': 5000,
	'grpc.keepalive_timeout_ms': 3000,
	'grpc.keepalive_permit_without_calls': 1,
	'grpc.max_receive_message_length': MOST_MESSAGE_BYTES,
	'grpc.max_send_message_length': MOST_MESSAGE_BYTES,
	'grpc.initial_reconnect_backoff_ms': FIRST_RETRY,
	'grpc.enable_http_proxy': 0,
	// Each channel has its own connections, so that a new channel opens a new one.
	'grpc.use_local_subchannel_pool': 1,
	// The hub dials again by itself: gRPC's own retries would keep a copy of each message, and its diagnostics a count.
	'grpc.enable_retries': 0,
	'grpc.enable_channelz': 0,
}

/** What a hub is made with. @public */
export interface LinkHubParts {
	readonly self: string
	readonly clock: Clock
	readonly serverCredentials: ServerCredentials
	readonly channelCredentials: ChannelCredentials
	/** Takes an event from a peer. */
	readonly receive: (from: string, event: Event) => void
	/** Told when a peer comes and goes. */
	readonly changed: (peer: string, connected: boolean) => void
	/**
	 * Milliseconds without a parcel after which a dialled connection is replaced by a new one; absent
	 * to rely on gRPC's keepalive. A peer is never silent for more than two thirds of that span.
	 */
	readonly silence?: number
	/** Milliseconds between two tries to reach a peer that is away, at most; 2 s if absent. */
	readonly longestRetry?: number
}

interface Dialled {
	readonly address: string
	client: LinkClient
	retry: number
	/** When a parcel last came, or when the connection was last dialled. */
	heardAt: number
	/** Whether a parcel has come by this connection. */
	heard: boolean
	/** Milliseconds that a new connection may take to its first parcel. */
	patience: number
	stream?: ClientDuplexStream<Parcel, Parcel>
	timer?: Timer
}

/** Looks for links to greet in the span after which a silent connection is replaced. */
const LOOKS_A_SILENCE = 6
/**
 * Looks that a link may be silent before it is greeted. A peer hears something after four looks at
 * the latest, two thirds of that span, and links on which news go out anyway need no greetings.
 */
const GREETING_PATIENCE = 2

type Stream = ClientDuplexStream<Parcel, Parcel> | ServerDuplexStream<Parcel, Parcel>

/**
 * The streams of one process.
 *
 * @public
 */
export class LinkHub {
	private readonly outboxes = new Map<string, Outbox>()
	private readonly dialled = new Map<string, Dialled>()
	/** How many streams each peer that has dialled in has here. */
	private readonly accepted = new Map<string, number>()
	private readonly server: Server
	private closed = false
	/** Greets those that have dialled in; set from the first of them on. */
	private greeting: Timer | undefined
	/** The next look for silent connections, and when that is. */
	private watching: { readonly timer: Timer; readonly at: number } | undefined

	/** @param parts - identity, credentials and callbacks. */
	constructor(private readonly parts: LinkHubParts) {
		this.server = new Server(CHANNEL_OPTIONS)
		this.server.addService(LinkService, {
			connect: (stream: ServerDuplexStream<Parcel, Parcel>) => this.accept(stream),
		})
	}

	/** The peers that there is a stream to. */
	get connected(): string[] {
		return [...this.outboxes.keys()].filter((peer) => this.isConnected(peer))
	}

	/**
	 * Lets peers dial in.
	 *
	 * @param address - host and port; port 0 takes a free one.
	 * @returns the port.
	 */
	listen(address: string): Promise<number> {
		return new Promise((resolve, reject) => {
			this.server.bindAsync(address, this.parts.serverCredentials, (fault, port) => {
				if (fault) reject(fault)
				else resolve(port)
			})
		})
	}

	/** Keeps a stream to a peer from now on. */
	dial(peer: string, address: string): void {
		if (this.dialled.has(peer)) return
		const client = this.client(address)
		const dialled: Dialled = {
			address,
			client,
			retry: FIRST_RETRY,
			heardAt: this.now,
			heard: false,
			patience: FIRST_PATIENCE,
		}
		this.dialled.set(peer, dialled)
		this.connect(peer)
	}

	/** Keeps no stream to a peer any longer. */
	hangUp(peer: string): void {
		const dialled = this.dialled.get(peer)
		if (!dialled) return
		this.dialled.delete(peer)
		dialled.timer?.cancel()
		dialled.stream?.cancel()
		dialled.client.close()
	}

	/** The peers that are dialled. */
	get dialledPeers(): string[] {
		return [...this.dialled.keys()]
	}

	/**
	 * Sends an event.
	 *
	 * @returns false when it was dropped for certain; true promises nothing.
	 */
	send(peer: string, event: Event): boolean {
		return this.outboxes.get(peer)?.send(event) ?? false
	}

	/** Whether there is a stream to a peer. */
	isConnected(peer: string): boolean {
		return this.outboxes.get(peer)?.connected ?? false
	}

	/** Ends all streams. */
	close(): void {
		this.closed = true
		this.greeting?.cancel()
		this.watching?.timer.cancel()
		for (const { client, timer } of this.dialled.values()) {
			timer?.cancel()
			client.close()
		}
		this.server.forceShutdown()
	}

	private connect(peer: string): void {
		const dialled = this.dialled.get(peer)
		if (!dialled || this.closed) return
		const stream = dialled.client.connect()
		dialled.stream = stream
		dialled.heardAt = this.now
		dialled.heard = false
		const outbox = this.outbox(peer)
		stream.on('data', (parcel: Parcel) => {
			if (!this.isSpoken(parcel)) return
			if (dialled.stream === stream) this.noteHeard(dialled)
			this.receive(peer, parcel)
		})
		const lost = once(() => {
			outbox.disconnect(stream)
			if (!outbox.connected) this.parts.changed(peer, false)
			if (dialled.stream !== stream) return
			dialled.stream = undefined
			this.reconnect(peer, dialled)
		})
		stream.on('error', lost)
		stream.on('end', lost)
		outbox.connect(stream)
		outbox.greet()
		this.parts.changed(peer, true)
		this.watch()
	}

	private get now(): number {
		return this.parts.clock.now()
	}

	private get longestRetry(): number {
		return this.parts.longestRetry ?? LONGEST_RETRY
	}

	private client(address: string): LinkClient {
		// The channel waits by itself too, so its pauses have the same bound.
		const options = { ...CHANNEL_OPTIONS, 'grpc.max_reconnect_backoff_ms': this.longestRetry }
		return new LinkClient(address, this.parts.channelCredentials, options)
	}

	private noteHeard(dialled: Dialled): void {
		dialled.retry = FIRST_RETRY
		dialled.heardAt = this.now
		dialled.heard = true
		dialled.patience = FIRST_PATIENCE
	}

	private greetFromNowOn(): void {
		const { silence, clock } = this.parts
		if (silence === undefined) return
		this.greeting ??= clock.every(silence / LOOKS_A_SILENCE, () => this.greetAll())
	}

	/** Only who has dialled in listens for greetings: it replaces a connection that is silent. */
	private greetAll(): void {
		for (const [peer, outbox] of this.outboxes)
			if (this.accepted.has(peer)) outbox.greetAll(GREETING_PATIENCE)
	}

	/** Looks for silent connections once the first of them may be: a quiet process is woken for little else. */
	private watch(): void {
		const { silence, clock } = this.parts
		if (silence === undefined || this.closed) return
		const deadlines = [...this.dialled.values()].map((dialled) => deadlineOf(dialled, silence))
		const wait = Math.ceil((Math.min(...deadlines) - this.now) / WATCH_STEP) * WATCH_STEP
		if (!Number.isFinite(wait)) return
		const at = this.now + Math.max(wait, WATCH_STEP)
		if (this.watching && this.watching.at <= at) return
		this.watching?.timer.cancel()
		this.watching = { at, timer: clock.after(at - this.now, () => this.replaceSilent(silence)) }
	}

	private replaceSilent(silence: number): void {
		this.watching = undefined
		for (const [peer, dialled] of this.dialled) {
			if (this.now >= deadlineOf(dialled, silence)) this.replace(peer, dialled)
		}
		this.watch()
	}

	/** A new channel opens a new connection; the old one may take seconds to notice that it is dead. */
	private replace(peer: string, dialled: Dialled): void {
		const { stream, client } = dialled
		dialled.timer?.cancel()
		dialled.stream = undefined
		if (!dialled.heard) dialled.patience *= PATIENCE_GROWTH
		dialled.client = this.client(dialled.address)
		stream?.cancel()
		client.close()
		this.connect(peer)
	}

	private reconnect(peer: string, dialled: Dialled): void {
		if (this.closed || this.dialled.get(peer) !== dialled) return
		const wait = dialled.retry
		dialled.retry = Math.min(this.longestRetry, wait * 2)
		dialled.timer = this.parts.clock.after(wait, () => this.connect(peer))
	}

	private accept(stream: ServerDuplexStream<Parcel, Parcel>): void {
		let peer = ''
		stream.on('data', (parcel: Parcel) => {
			if (!this.isSpoken(parcel)) {
				stream.end()
				return
			}
			if (peer === '') {
				peer = parcel.sender
				this.welcome(peer, stream)
			}
			this.receive(peer, parcel)
		})
		const lost = once(() => this.lost(peer, stream))
		stream.on('error', lost)
		stream.on('cancelled', lost)
		stream.on('end', () => {
			lost()
			stream.end()
		})
	}

	/** The peer counts the connection as good once it hears something. */
	private welcome(peer: string, stream: Stream): void {
		const outbox = this.outbox(peer)
		this.countAccepted(peer, 1)
		this.greetFromNowOn()
		outbox.connect(stream)
		outbox.greet()
		this.parts.changed(peer, true)
	}

	private countAccepted(peer: string, by: 1 | -1): void {
		const count = (this.accepted.get(peer) ?? 0) + by
		if (count > 0) this.accepted.set(peer, count)
		else this.accepted.delete(peer)
	}

	private lost(peer: string, stream: Stream): void {
		if (peer === '') return
		this.countAccepted(peer, -1)
		this.outbox(peer).disconnect(stream)
		if (!this.isConnected(peer)) this.parts.changed(peer, false)
	}

	private receive(peer: string, parcel: Parcel): void {
		for (const event of parcel.events) this.parts.receive(peer, event)
	}

	private isSpoken(parcel: Parcel): boolean {
		return parcel.version === PROTOCOL_VERSION
	}

	private outbox(peer: string): Outbox {
		let outbox = this.outboxes.get(peer)
		if (!outbox) {
			outbox = new Outbox(this.parts.self)
			this.outboxes.set(peer, outbox)
		}
		return outbox
	}
}

/** When a connection has been silent for too long; never while there is none. */
function deadlineOf({ stream, heard, heardAt, patience }: Dialled, silence: number): number {
	if (!stream) return Number.POSITIVE_INFINITY
	return heardAt + (heard ? silence : Math.min(silence, patience))
}

function once(act: () => void): () => void {
	let done = false
	return () => {
		if (done) return
		done = true
		act()
	}
}
