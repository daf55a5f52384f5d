/** The order in which an instance tries the peers that can bring its calls to the leader. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { CellNews } from '@rillrudder/protocol'
import { LeaderView } from './LeaderView'

const TTL_MS = 700
const LEADER = 'c'

function viewOf(usesRelays: boolean, relayed: boolean): LeaderView {
	const view = new LeaderView(TTL_MS, usesRelays)
	const news: CellNews = { leader: LEADER, term: 3, members: [], fresh: true, relayed }
	for (const peer of ['a', LEADER, 'b']) view.update(peer, news, 0)
	return view
}

test('calls go to the leader itself first', () => {
	assert.deepEqual(viewOf(false, true).leader(0)?.via, [LEADER, 'a', 'b'])
	assert.deepEqual(viewOf(true, false).leader(0)?.via, [LEADER, 'a', 'b'])
})

test('where the core relays calls, other members come first and the leader is the last resort', () => {
	assert.deepEqual(viewOf(true, true).leader(0)?.via, ['a', 'b', LEADER])
})

test('a relay whose link is lost is not tried', () => {
	const view = viewOf(true, true)
	view.onLinkLost('a')
	view.onLinkLost('b')
	assert.deepEqual(view.leader(0)?.via, [LEADER])
})
