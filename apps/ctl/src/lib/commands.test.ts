/** Exit codes that scripts can trust, against a server that answers as it is told. */
import assert from 'node:assert/strict'
import { mkdtempSync, writeFileSync } from 'node:fs'
import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { after, before, test } from 'node:test'
import { ExitCode, runCommand } from '@rillrudder/program'
import { rrctl } from './commands'
import { homesThatMove } from './homesThatMove'

let server: Server
let status = 200
let asked = ''

before(async () => {
	server = createServer((request, response) => {
		asked = `${request.method} ${request.url}`
		response.writeHead(status, { 'content-type': 'application/json' })
		response.end(JSON.stringify({ message: 'as told', content: [] }))
	})
	await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
})

after(() => server.close())

async function exitCodeOf(words: string[], answer: number): Promise<number> {
	status = answer
	const { port } = server.address() as AddressInfo
	await runCommand(rrctl, [...words, '--at', `127.0.0.1:${port}`, '--json'])
	const code = Number(process.exitCode ?? 0)
	process.exitCode = 0
	return code
}

test('what was done ends with 0', async () => {
	assert.equal(await exitCodeOf(['tasks'], 200), ExitCode.Done)
	assert.equal(asked, 'GET /v1/tasks')
})

test('what was refused ends with 1', async () => {
	assert.equal(await exitCodeOf(['cancel', 'watch'], 409), ExitCode.Failed)
	assert.equal(asked, 'POST /v1/intents/watch/cancel')
})

test('what is not as it should be ends with 2', async () => {
	assert.equal(await exitCodeOf(['drain', 'w1'], 400), ExitCode.Usage)
	assert.equal(await exitCodeOf(['plan', '/no/such/file'], 200), ExitCode.Usage)
})

test('what could not be reached ends with 3', async () => {
	assert.equal(await exitCodeOf(['confirm', 'p1'], 503), ExitCode.Unreachable)
})

test('a command inside another gives its code too', async () => {
	assert.equal(await exitCodeOf(['config', 'get'], 404), ExitCode.Failed)
})

test('homes that would move are shown, and move only when that is confirmed', () => {
	const before = 'customers: [{ name: a, home: vake }, { name: b, home: isani }]'
	const after = 'customers: [{ name: a, home: isani }, { name: b, home: isani }]'
	assert.deepEqual(homesThatMove(before, after), [{ customer: 'a', from: 'vake', to: 'isani' }])
	assert.deepEqual(homesThatMove(before, before), [])
	assert.deepEqual(homesThatMove('', 'customers: [{ name: c, home: vake }]'), [
		{ customer: 'c', from: '', to: 'vake' },
	])
})

test('a proposal that moves homes is not sent without a second look', async () => {
	const file = join(mkdtempSync(join(tmpdir(), 'rrctl-')), 'cell.yaml')
	writeFileSync(file, 'customers: [{ name: a, home: vake }]')
	const words = ['config', 'apply', '--replaces', '0', file]
	assert.equal(await exitCodeOf(words, 200), ExitCode.Failed)
	assert.equal(asked, 'GET /v1/configuration')
	assert.equal(await exitCodeOf([...words, '--yes'], 200), ExitCode.Done)
	assert.equal(asked, 'POST /v1/configuration')
})

test('filters of the audit go along', async () => {
	await exitCodeOf(['audit', '--who', 'nino', '--from', '2026-01-01T00:00:00Z'], 200)
	assert.equal(asked, 'GET /v1/audit?who=nino&from=1767225600000')
})
