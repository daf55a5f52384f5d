/** The whole sessions whose transcripts are kept. */
import { Session } from './Session'

/** A session and the file that its transcript is kept in. @public */
export interface KeptSession {
	readonly file: string
	readonly play: () => string
}

const SEED = 11

/** All sessions. @public */
export const SESSIONS: readonly KeptSession[] = [
	{ file: 'petition-deadline.txt', play: petitionDeadline },
	{ file: 'friday-recharge.txt', play: fridayRecharge },
	{ file: 'reconciliation.txt', play: reconciliation },
	{ file: 'data-centre-cut-off.txt', play: dataCentreCutOff },
	{ file: 'operators-racing.txt', play: operatorsRacing },
	{ file: 'rolling-restart.txt', play: rollingRestart },
]

/** Signatures of one customer run in order; a tally is read beside them; one is sent twice. */
function petitionDeadline(): string {
	const session = new Session('A petition deadline: signatures in order, tallies beside them', SEED)
	session.say('signatures arrive at several entry instances')
	for (let number = 1; number <= 6; number++) {
		const instance = ['vake-1', 'saburtalo-2', 'isani-1'][number % 3]
		session.request(instance, {
			customer: 'batumi',
			key: `s${number}`,
			body: `signature ${number}`,
		})
		session.pass(20)
	}
	session.request('vake-3', { customer: 'batumi', key: 't1', body: 'tally', repeatable: true })
	session.pass(1000)
	session.say('a signature is sent again, and once with another body')
	session.request('isani-2', { customer: 'batumi', key: 's3', body: 'signature 3' })
	session.request('isani-2', { customer: 'batumi', key: 's4', body: 'another signature' })
	session.pass(1000)
	session.finish()
	return session.transcript
}

/** Kiosks queue up; a worker leaves; what can't be served in time is told so. */
function fridayRecharge(): string {
	const session = new Session('A Friday recharge: kiosks queue up, and a worker leaves', SEED)
	session.say('forty top-ups at once')
	for (let number = 1; number <= 40; number++) {
		const instance = `vake-${(number % 3) + 1}`
		const timeout = number % 10 === 0 ? 60 : 4000
		const body = `top-up ${number}`
		session.request(instance, { customer: 'kiosks', key: `u${number}`, body, timeout })
	}
	session.pass(200)
	session.leave('vake-w1')
	session.pass(4000)
	session.say('more of them')
	for (let number = 41; number <= 46; number++) {
		session.request('vake-1', { customer: 'kiosks', key: `u${number}`, body: `top-up ${number}` })
	}
	session.pass(2000)
	session.finish()
	return session.transcript
}

/** A service stays up, a batch with a deadline ends, a gang starts whole, an impossible job is told. */
function reconciliation(): string {
	const session = new Session(
		'Reconciliation before opening: plans, confirmations, a worker that goes',
		SEED
	)
	session.say('three intents are planned and confirmed')
	const plan = (document: string): void => {
		session.planAndConfirm('vake-2', 'vake', document)
		session.pass(1500)
	}
	plan(
		'{ kind: service, name: watch, team: feeds, tasks: 3, each: { cpu: 1, memory: 1Gi }, command: [serve] }'
	)
	plan(
		"{ kind: batch, name: settle, team: tables, tasks: 4, each: { cpu: 2, memory: 2Gi }, deadline: '2026-01-01T05:00:00Z', runTime: 3s, command: [sleep, '3000'] }"
	)
	plan(
		"{ kind: gang, name: close, team: tables, tasks: 3, each: { cpu: 1, memory: 1Gi, accelerators: 1 }, command: [sleep, '4000'] }"
	)
	session.say('a job that can never run')
	plan('{ kind: batch, name: giant, team: tables, each: { cpu: 64, memory: 1Gi }, command: [run] }')
	session.say('a worker of the service leaves')
	session.leave('vake-w1')
	session.pass(8000)
	session.say('the service is cancelled')
	session.operate('saburtalo-1', 'vake', { kind: 'cancel', operator: 'nino', intent: 'watch' })
	session.pass(2000)
	session.finish()
	return session.transcript
}

/** A data centre that is cut off goes on with its own customers; others are told what is known. */
function dataCentreCutOff(): string {
	const session = new Session('A data centre is cut off and healed', SEED)
	session.say('before')
	for (const customer of ['batumi', 'kutaisi', 'telavi']) {
		session.request('isani-1', { customer, key: 'a1', body: 'before' })
	}
	session.pass(1000)
	session.cutOff('isani', 11_500)
	session.pass(1500)
	session.say('while it is cut off')
	for (const customer of ['batumi', 'kutaisi', 'telavi']) {
		session.request('isani-1', { customer, key: 'a2', body: 'inside' })
		session.request('vake-1', { customer, key: 'a3', body: 'outside' })
	}
	session.request('isani-2', { customer: 'batumi', key: 'r1', body: 'tally', repeatable: true })
	session.operate('isani-1', 'system', {
		kind: 'propose',
		operator: 'nino',
		replaces: 0,
		document: '{ customers: [] }',
	})
	session.pass(10_000)
	session.pass(5000)
	session.say('after')
	for (const customer of ['batumi', 'kutaisi', 'telavi']) {
		session.request('isani-1', { customer, key: 'a3', body: 'outside' })
	}
	session.pass(3000)
	session.finish()
	return session.transcript
}

/** Two operators propose in place of the same revision; one wins; both send again. */
function operatorsRacing(): string {
	const session = new Session('Operators race with equal numbers and send again', SEED)
	const propose = (instance: string, operator: string, request: string, home: string): void => {
		const document = `{ customers: [{ name: batumi, home: ${home} }] }`
		session.operate(instance, 'system', {
			kind: 'propose',
			operator,
			request,
			replaces: 0,
			document,
		})
	}
	session.say('both propose in place of revision 0')
	propose('isani-1', 'nino', 'nino-1', 'isani')
	propose('vake-2', 'omar', 'omar-1', 'vake')
	session.pass(2000)
	session.say('both send the same again, to other instances')
	propose('saburtalo-1', 'nino', 'nino-1', 'isani')
	propose('saburtalo-2', 'omar', 'omar-1', 'vake')
	session.pass(3000)
	session.say('the trail of the system')
	session.operate('vake-1', 'system', { kind: 'audit', operator: 'nino' }, (reply) => {
		for (const line of reply.content as { who: string; what: string; outcome: string }[]) {
			session.say(`${line.who} ${line.what}: ${line.outcome}`)
		}
	})
	session.pass(1000)
	session.finish()
	return session.transcript
}

/** Every control process is stopped as planned and started again, with requests going on. */
function rollingRestart(): string {
	const session = new Session('A rolling restart of all control processes', SEED)
	let number = 0
	const instances = [
		'isani-1',
		'isani-2',
		'saburtalo-1',
		'saburtalo-2',
		'vake-1',
		'vake-2',
		'vake-3',
	]
	for (const instance of instances) {
		session.say(instance)
		session.stop(instance)
		for (const customer of ['batumi', 'kutaisi', 'telavi']) {
			number += 1
			session.request('vake-1', { customer, key: `r${number}`, body: `request ${number}` })
		}
		session.pass(1500)
		session.restart(instance)
		session.pass(3000)
	}
	session.finish()
	return session.transcript
}
