/** Authentication of operators by token, and without TLS by header. */
import assert from 'node:assert/strict'
import { mkdtempSync, writeFileSync } from 'node:fs'
import type { IncomingMessage } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'node:test'
import { OperatorAuthenticator } from './OperatorAuthenticator'

const requestWith = (headers: IncomingMessage['headers']) => ({ headers }) as IncomingMessage

test('with tokens an operator is identified by a known token only, regardless of the name header', () => {
	const file = join(mkdtempSync(join(tmpdir(), 'rillrudder-tokens-')), 'tokens')
	writeFileSync(file, '# operators\nnino: secret-one\nomar: secret-two\n')
	const authenticator = new OperatorAuthenticator(file, false)
	assert.equal(authenticator.isOpen, false)
	const named = (authorization: string | undefined) =>
		authenticator.nameOf(requestWith({ authorization, 'rillrudder-operator': 'eve' }))
	assert.equal(named('Bearer secret-two'), 'omar')
	assert.equal(named('Bearer secret-three'), undefined)
	assert.equal(named('Bearer '), undefined)
	assert.equal(named(undefined), undefined)
})

test('without TLS and tokens the name header is trusted, and access is reported as open', () => {
	const authenticator = new OperatorAuthenticator(undefined, false)
	assert.equal(authenticator.isOpen, true)
	assert.equal(authenticator.nameOf(requestWith({ 'rillrudder-operator': 'nino' })), 'nino')
	assert.equal(authenticator.nameOf(requestWith({})), 'unnamed')
})
