import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { GroupMessage, VoteCall } from '@rillrudder/protocol'
import { Random } from '@rillrudder/utils'
import { Replica } from './Replica'

const IDS = ['a', 'b', 'c', 'd', 'e']
const TIMING = { heartbeatInterval: 50, electionTimeout: 300, spread: 0.5, drift: 0.05 }
/** Long after the start, so that no lease acknowledged by an earlier incarnation holds. */
const NOW = 60_000

/** One of five voters, restarted long ago. */
function voter(): Replica {
	const random = new Random(1)
	const options = { group: 'g', id: 'a', incarnation: 'a', founders: [], timing: TIMING, random }
	const members = IDS.map((id) => ({
		id,
		incarnation: id,
		voter: true,
		durable: true,
		local: true,
		dataCentre: '',
	}))
	const snapshot = { index: 5, term: 1, membership: { members }, data: new Uint8Array(0) }
	return new Replica(options, 0, {
		hardState: { term: 1, votedFor: '' },
		snapshot,
		entries: [],
	})
}

/** @returns whether the replica grants the vote, or the pre-vote when `pre` is set. */
function requestVote(
	replica: Replica,
	from: string,
	term: number,
	pre: boolean,
	now: number
): boolean {
	const value: VoteCall = { pre, lastIndex: 9, lastTerm: 1, transfer: false, unanimous: false }
	const message: GroupMessage = {
		group: 'g',
		from,
		incarnation: from,
		term,
		body: { $case: 'voteCall', value },
	}
	replica.receive(message, now)
	const answer = replica.takeOutput().afterSync.find(({ to }) => to === from)
	assert.ok(answer?.message.body?.$case === 'voteReply')
	return answer.message.body.value.granted
}

test('while a granted vote may still decide its term, no pre-vote is granted for the next term', () => {
	const replica = voter()
	assert.equal(requestVote(replica, 'b', 2, false, NOW), true)
	assert.equal(requestVote(replica, 'c', 3, true, NOW + 20), false)
	assert.equal(requestVote(replica, 'c', 3, true, NOW + TIMING.electionTimeout), true)
})

test('a replica grants one vote per term', () => {
	const replica = voter()
	assert.equal(requestVote(replica, 'b', 2, false, NOW), true)
	assert.equal(requestVote(replica, 'c', 2, false, NOW + 20), false)
	assert.equal(requestVote(replica, 'b', 2, false, NOW + 40), true)
})
