/** How often core instances broadcast who leads, and for how long entry instances accept it. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { Replica } from '@rillrudder/consensus'
import type { CellNews } from '@rillrudder/protocol'
import { ManualClock } from '@rillrudder/utils'
import { NewsBroadcaster } from './NewsBroadcaster'
import { ENTRY_NEWS_TTL_MS, LeaderView, NEWS_INTERVAL_MS } from './LeaderView'
import type { PeerLinks } from './PeerLinks'

const ENTRY = 'entry/a'
const MEMBER = 'b'
const SPAN = 3000
const LOAD = { processor: 0, loopDelay: 0, age: 0 }

/** @returns the recipient of each message that a core instance broadcasts within a span. */
function recipientsWithin(span: number, leads: boolean): string[] {
	const clock = new ManualClock()
	const sent: string[] = []
	const hub = { connected: [MEMBER, ENTRY], send: (peer: string) => sent.push(peer) > 0 }
	const links = {
		hub,
		view: new LeaderView(ENTRY_NEWS_TTL_MS),
		leaderCalls: { onLeaderKnown: () => undefined },
	}
	const status = { leader: 'c', term: 3, members: [] }
	const news = new NewsBroadcaster({
		self: leads ? 'c' : 'a',
		incarnation: 'life',
		clock,
		links: links as unknown as PeerLinks,
		replica: () =>
			({
				isLeader: leads,
				status,
				leaderHeardAt: clock.now(),
				holdsLease: () => true,
			}) as unknown as Replica,
		load: () => LOAD as never,
		isRelayed: () => false,
		linkedMembers: () => [{ id: MEMBER }],
	})
	clock.every(NEWS_INTERVAL_MS, () => news.broadcastPeriodically())
	clock.advance(span)
	return sent
}

// Guards against waking entry instances, of which there are hundreds, with unchanged news.
test('while nothing changes, entry instances get news every 300 ms at most, core instances every 150', () => {
	const messagesTo = (leads: boolean, peer: string): number =>
		recipientsWithin(SPAN, leads).filter((name) => name === peer).length
	assert.equal(messagesTo(false, ENTRY), SPAN / 300)
	assert.ok(messagesTo(true, ENTRY) <= SPAN / 300)
	assert.equal(messagesTo(false, MEMBER), SPAN / NEWS_INTERVAL_MS)
	assert.equal(messagesTo(true, MEMBER), SPAN / NEWS_INTERVAL_MS)
})

test('an entry instance keeps its leader after one lost message, but not after a second one', () => {
	const view = new LeaderView(ENTRY_NEWS_TTL_MS)
	const news: CellNews = { leader: 'c', term: 3, members: [], fresh: true, relayed: false }
	view.update('a', news, 0)
	assert.equal(view.leader(600)?.id, 'c')
	assert.equal(view.leader(900), undefined)
})
