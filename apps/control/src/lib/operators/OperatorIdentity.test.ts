/** Who an operator is told to be. */
import assert from 'node:assert/strict'
import { mkdtempSync, writeFileSync } from 'node:fs'
import type { IncomingMessage } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'node:test'
import { OperatorIdentity } from './OperatorIdentity'

const asking = (headers: IncomingMessage['headers']) => ({ headers }) as IncomingMessage

test('with tokens only a known token names an operator, whatever the header says', () => {
	const file = join(mkdtempSync(join(tmpdir(), 'rillrudder-tokens-')), 'tokens')
	writeFileSync(file, '# operators\nnino: secret-one\nomar: secret-two\n')
	const identity = new OperatorIdentity(file, false)
	assert.equal(identity.open, false)
	const named = (authorization: string | undefined) =>
		identity.nameOf(asking({ authorization, 'rillrudder-operator': 'eve' }))
	assert.equal(named('Bearer secret-two'), 'omar')
	assert.equal(named('Bearer secret-three'), undefined)
	assert.equal(named('Bearer '), undefined)
	assert.equal(named(undefined), undefined)
})

test('without TLS and tokens everybody is believed, and that is known', () => {
	const identity = new OperatorIdentity(undefined, false)
	assert.equal(identity.open, true)
	assert.equal(identity.nameOf(asking({ 'rillrudder-operator': 'nino' })), 'nino')
	assert.equal(identity.nameOf(asking({})), 'unnamed')
})
