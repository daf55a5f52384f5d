/** The whole path with real sockets, files and processes' classes, on loopback. */
import assert from 'node:assert/strict'
import { request as httpRequest } from 'node:http'
import { after, before, test } from 'node:test'
import { SEVEN_INSTANCES } from '@rillrudder/fakes'
import { dataCentresOf } from '@rillrudder/settings'
import { SystemClock } from '@rillrudder/utils'
import { requestJson } from '@rillrudder/web'
import { makeCall, type CallResult } from './Caller'
import { FakeFleet, TODAYS_WORKERS } from './FakeFleet'
import { LocalCell } from './LocalCell'

const clock = new SystemClock()
const instances = SEVEN_INSTANCES.map((one) => ({ ...one, address: '' }))
const plan = { ...TODAYS_WORKERS, lag: 0, dataCentres: dataCentresOf(instances), seed: 1 }
const fleet = new FakeFleet(plan, clock)
let cell: LocalCell
let number = 0

before(async () => {
	await fleet.start()
	cell = new LocalCell(SEVEN_INSTANCES, fleet.platformAddress, clock)
	await cell.start()
	const ran = (result: CallResult) => result.outcome === 'ran'
	// Leaders have read the platform's list once a request of each kind has run.
	while (!ran(await call(0, 'GET', { key: undefined }))) await pause(100)
	while (!ran(await call(0, 'POST', {}))) await pause(100)
})

after(async () => {
	await cell.stop()
	fleet.stop()
})

function pause(span: number): Promise<void> {
	return new Promise((resolve) => clock.after(span, () => resolve()))
}

interface Terms {
	readonly customer?: string
	readonly key?: string
	readonly body?: string
}

function call(instance: number, method: string, terms: Terms): Promise<CallResult> {
	const { entry } = cell.instances[instance]
	const key = 'key' in terms ? terms.key : `key-${++number}`
	const { customer = 'batumi', body = method === 'POST' ? '{}' : undefined } = terms
	const made = { address: entry.callerAddress, method, path: '/work', customer, key, body }
	return makeCall(made, () => clock.now())
}

async function operate(method: string, path: string, body?: object) {
	const [host, port] = cell.instances[4].control.operatorAddress.split(':')
	const made = { host, port: Number(port), method, path, body, timeout: 15_000 }
	const reply = await requestJson({ ...made, headers: { 'rillrudder-operator': 'nino' } })
	assert.ok(reply.ok)
	const { message, content } = reply.value.body as { message: string; content: unknown }
	return { status: reply.value.status, message, content }
}

test('a request that is not repeatable runs once for one key, wherever it is sent', async () => {
	const key = 'once'
	const answers = await Promise.all([0, 2, 4, 6].map((one) => call(one, 'POST', { key })))
	assert.deepEqual(new Set(answers.map((one) => one.outcome)), new Set(['ran']))
	assert.equal(new Set(answers.map((one) => one.body)).size, 1)
	assert.equal(fleet.runsByKey().get('batumi/once'), 1)
})

test('the same key with another body is refused, and a later resend still gets the first answer', async () => {
	const key = 'reused'
	const first = await call(0, 'POST', { key, body: '{"amount":1}' })
	const other = await call(3, 'POST', { key, body: '{"amount":2}' })
	const again = await call(5, 'POST', { key, body: '{"amount":1}' })
	assert.equal(other.status, 422)
	assert.match(other.body, /urn:rillrudder:problem:key-reused/)
	assert.equal(again.body, first.body)
})

test('the answer is whole, names the key, and echoes the request', async () => {
	const body = JSON.stringify({ long: 'x'.repeat(200_000) })
	const answer = await call(1, 'POST', { key: 'long', body })
	assert.equal(answer.key, 'long')
	assert.equal(JSON.parse(answer.body).echo, body)
})

test('malformed requests get a clear 4xx and are not run', async () => {
	const { entry } = cell.instances[0]
	const [host, port] = entry.callerAddress.split(':')
	const send = (headers: { [name: string]: string }, body = '') =>
		new Promise<{ status: number; outcome: unknown; text: string }>((resolve, reject) => {
			const options = { host, port: Number(port), method: 'POST', path: '/', headers }
			const request = httpRequest(options, (response) => {
				let text = ''
				response.on('data', (piece) => (text += piece))
				const outcome = response.headers['rillrudder-outcome']
				response.on('end', () => resolve({ status: response.statusCode ?? 0, outcome, text }))
			})
			request.on('error', reject)
			request.end(body)
		})
	const cases: [{ [name: string]: string }, RegExp][] = [
		[{}, /Rillrudder-Customer is missing/],
		[{ 'rillrudder-customer': 'No Name' }, /not a customer name/],
		[{ 'rillrudder-customer': 'a', 'idempotency-key': 'x'.repeat(300) }, /Idempotency-Key/],
		[{ 'rillrudder-customer': 'a', 'rillrudder-repeatable': 'maybe' }, /neither true nor false/],
		[{ 'rillrudder-customer': 'a', 'rillrudder-timeout': '0' }, /Rillrudder-Timeout/],
	]
	for (const [headers, expected] of cases) {
		const answer = await send(headers)
		assert.equal(answer.status, 400)
		assert.equal(answer.outcome, 'not-run')
		assert.match(answer.text, expected)
	}
	const long = await send({ 'rillrudder-customer': 'a' }, 'x'.repeat(1024 * 1024 + 1))
	assert.equal(long.status, 413)
})

test('an operator plans, confirms, asks why, cancels, and finds it all in the audit', async () => {
	const document = `
kind: service
name: watch
team: feeds
tasks: 2
each: { cpu: 500m, memory: 512Mi }
command: [serve]
`
	const planned = await operate('POST', '/v1/plans', { document })
	assert.equal(planned.status, 200)
	const { subject } = planned.content as { subject: string }
	const confirmed = await operate('POST', `/v1/plans/${subject}/confirm`, { request: 'c-1' })
	const again = await operate('POST', `/v1/plans/${subject}/confirm`, { request: 'c-1' })
	assert.deepEqual(again, confirmed)
	const running = () => fleet.workers.flatMap((worker) => worker.model.tasks)
	await cell.until(() => running().length === 2, 'both tasks run')
	const explained = await operate('GET', `/v1/tasks/${running()[0]}/explain`)
	assert.equal((explained.content as { phase: string }).phase, 'placed')
	const cancelled = await operate('POST', '/v1/intents/watch/cancel', {})
	assert.equal(cancelled.status, 200)
	await cell.until(() => running().length === 0, 'both tasks have ended')
	const audit = await operate('GET', '/v1/audit?who=nino')
	const whats = (audit.content as { what: string }[]).map((one) => one.what)
	assert.deepEqual(whats, ['plan', 'confirm', 'cancel'])
})

test('a document that is not as it should be comes back with all findings', async () => {
	const document = 'kind: gang\nname: Bad Name\nteam: x\ntasks: 0\neach: { cpu: 1, memory: 1Gi }\n'
	const planned = await operate('POST', '/v1/plans', { document })
	assert.equal(planned.status, 422)
	assert.match(planned.message, /intent:2:7: name/)
	assert.match(planned.message, /intent:4:8: tasks/)
})

test('of two proposals with equal numbers one wins, and the other is shown what is in force', async () => {
	const propose = (home: string) => {
		const document = `customers: [{ name: batumi, home: ${home} }]`
		return operate('POST', '/v1/configuration', { replaces: 0, document })
	}
	const replies = await Promise.all([propose('vake'), propose('isani')])
	assert.deepEqual(replies.map((one) => one.status).sort(), [200, 409])
	const loser = replies.find((one) => one.status === 409)
	const { current } = loser?.content as { current: { revision: number } }
	assert.equal(current.revision, 1)
	await cell.until(
		() => cell.instances.every((one) => one.entry.revision === 1),
		'every entry instance has the configuration'
	)
})

test('a customer that has moved gets the same answer for a key that it used before', async () => {
	const before = await call(0, 'POST', { key: 'once' })
	assert.equal(before.outcome, 'ran')
	assert.equal(fleet.runsByKey().get('batumi/once'), 1)
})

test('a planned stop of the leader cuts off no request in flight', async () => {
	const leader = cell.leaderOf('vake')
	assert.ok(leader)
	const calls = Array.from({ length: 40 }, (_, position) => call(position % 7, 'POST', {}))
	await leader.control.stop()
	const outcomes = (await Promise.all(calls)).map((one) => one.outcome)
	assert.deepEqual(new Set(outcomes), new Set(['ran']))
	await cell.until(() => cell.leaderOf('vake') !== undefined, 'another instance leads')
	assert.equal((await call(1, 'POST', {})).outcome, 'ran')
})
