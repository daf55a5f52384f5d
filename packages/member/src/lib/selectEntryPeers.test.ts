import assert from 'node:assert/strict'
import { test } from 'node:test'
import { selectEntryPeers } from './selectEntryPeers'

const MEMBERS = ['a:1', 'b:1', 'c:1', 'd:1', 'e:1', 'f:1']
const SEEDS = ['a:1', 'b:1', 'z:1']

function peers(leader: string | undefined, heard: readonly string[], self = 'edge-1'): string[] {
	return selectEntryPeers(self, SEEDS, MEMBERS, { leader, freshPeers: new Set(heard) })
}

test('after a long time without a leader, and in a small core, every known instance is dialled', () => {
	assert.deepEqual(selectEntryPeers('edge-1', SEEDS, MEMBERS, undefined).sort(), [
		...MEMBERS,
		'z:1',
	])
	const small = { leader: 'a:1', freshPeers: new Set(['a:1']) }
	assert.deepEqual(selectEntryPeers('edge-1', SEEDS, ['a:1', 'c:1'], small).sort(), [
		'a:1',
		'b:1',
		'c:1',
		'z:1',
	])
})

test('with a leader, links go to it and to two others that send news', () => {
	const chosen = peers('c:1', MEMBERS)
	assert.equal(chosen.length, 3)
	assert.equal(chosen[0], 'c:1')
	assert.deepEqual(peers('c:1', chosen), chosen, 'the selection is stable')
})

test('a spare that stops sending news is replaced by one that sends them', () => {
	const [, lost, kept] = peers('c:1', MEMBERS)
	const trying = peers('c:1', ['c:1', kept])
	assert.deepEqual([...trying].sort(), MEMBERS, 'all are tried while too few send news')
	const next = peers(
		'c:1',
		MEMBERS.filter((member) => member !== lost)
	)
	assert.equal(next.length, 3)
	assert.ok(!next.includes(lost))
})

test('during a leader change, links to peers that send news are kept', () => {
	const heard = ['a:1', 'd:1', 'f:1']
	assert.deepEqual([...peers(undefined, heard)].sort(), heard)
})

test('entry instances are spread over the core', () => {
	const names = Array.from({ length: 30 }, (_, number) => `edge-${number}`)
	const used = new Set(names.flatMap((name) => peers('a:1', MEMBERS, name)))
	assert.equal(used.size, MEMBERS.length)
})
