/** Mutual TLS: peers and operators need the authority's certificate, which also names operators. */
import assert from 'node:assert/strict'
import { mkdtempSync, readFileSync, rmSync } from 'node:fs'
import { createServer, type AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { after, before, test } from 'node:test'
import { linkSecurity, LinkHub, type Event } from '@rillrudder/protocol'
import { Log } from '@rillrudder/telemetry'
import { SystemClock } from '@rillrudder/utils'
import { requestJson } from '@rillrudder/web'
import { ControlProcess } from './ControlProcess'

const FIXTURES = join(__dirname, '..', '..', 'fixtures', 'tls')
const clock = new SystemClock()
const file = (name: string) => join(FIXTURES, name)
const files = (name: string) => ({
	authority: file('authority.pem'),
	certificate: file(`${name}.pem`),
	key: file(`${name}.key`),
})

let folder = ''
let control: ControlProcess
let links = ''

async function freeAddress(): Promise<string> {
	const server = createServer()
	await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
	const { port } = server.address() as AddressInfo
	await new Promise((resolve) => server.close(resolve))
	return `127.0.0.1:${port}`
}

async function until(holds: () => boolean | Promise<boolean>): Promise<void> {
	for (let attempt = 0; attempt < 400; attempt++) {
		if (await holds()) return
		await new Promise<void>((resolve) => clock.after(25, () => resolve()))
	}
	assert.fail('the condition did not become true in time')
}

before(async () => {
	folder = mkdtempSync(join(tmpdir(), 'rillrudder-tls-'))
	links = await freeAddress()
	const self = { id: 'vake-1', dataCentre: 'vake', address: links, disk: true }
	control = new ControlProcess(
		{
			self,
			instances: [self],
			operators: { host: '127.0.0.1', port: 0 },
			data: folder,
			logLevel: 'silent',
			tls: files('instance'),
		},
		{ clock, log: new Log('test', clock, 'silent') }
	)
	await control.start()
	await until(() => control.leading.includes('vake'))
})

after(async () => {
	await control.stop()
	rmSync(folder, { recursive: true })
})

function operate(method: string, path: string, certificate: string | undefined, body?: object) {
	const [host, port] = control.operatorAddress.split(':')
	const own = certificate
		? {
				cert: readFileSync(file(`${certificate}.pem`)),
				key: readFileSync(file(`${certificate}.key`)),
			}
		: {}
	const tls = { ca: readFileSync(file('authority.pem')), ...own }
	const headers = { 'rillrudder-operator': 'somebody-else' }
	const call = { host, port: Number(port), method, path, body, headers, tls, timeout: 10_000 }
	return requestJson(call)
}

test('the audit names the operator by the certificate, regardless of the name header', async () => {
	const document = 'customers: []'
	const proposed = await operate('POST', '/v1/configuration', 'operator', { replaces: 0, document })
	assert.ok(proposed.ok)
	assert.equal(proposed.value.status, 200)
	const audit = await operate('GET', '/v1/audit?dataCentre=system', 'operator')
	assert.ok(audit.ok)
	const { content } = audit.value.body as { content: { who: string; what: string }[] }
	assert.deepEqual(
		content.map(({ who, what }) => `${who} ${what}`),
		['nino propose']
	)
})

test('an operator without a certificate, or with one of another authority, is rejected', async () => {
	assert.equal((await operate('GET', '/v1/status', undefined)).ok, false)
	assert.equal((await operate('GET', '/v1/status', 'stranger')).ok, false)
})

/** Dials the control process. @returns whether any event was received within the attempts. */
async function isAnswered(certificate: string): Promise<boolean> {
	const heard: Event[] = []
	const hub = new LinkHub({
		self: 'vake-1/entry',
		clock,
		...linkSecurity(files(certificate)),
		receive: (_from, event) => void heard.push(event),
		changed: () => undefined,
	})
	hub.dial('vake-1', links)
	const value = {
		sequence: 1,
		dataCentre: 'vake',
		wanted: 0,
		uses: [],
		signs: [],
		leaving: false,
		incarnation: 'test',
		grant: 0,
		group: 'vake',
	}
	for (let attempt = 0; attempt < 40 && heard.length === 0; attempt++) {
		hub.send('vake-1', { body: { $case: 'beat', value } })
		await new Promise<void>((resolve) => clock.after(50, () => resolve()))
	}
	hub.close()
	return heard.length > 0
}

test('only a peer with a certificate of the authority is answered', async () => {
	assert.equal(await isAnswered('instance'), true)
	assert.equal(await isAnswered('stranger'), false)
})
