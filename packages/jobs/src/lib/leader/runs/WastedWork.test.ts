/** Tests that wasted work is logged and counted by cause, in processor seconds, when a run ends. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { LeaderSubject } from '../../testing/LeaderSubject'
import { jobOf } from '../../testing/samples'
import { LeaderEvent } from '../LeaderEvent'

const JOB = '00000000000000aa'
const TWO_PROCESSORS = { cpu: 2000, memory: 512, accelerators: 0 }

interface Line {
	readonly cause: string
	readonly wasted: number
}

function endsOf(subject: LeaderSubject): Line[] {
	return subject.logLines
		.filter((line) => line.includes(`"${LeaderEvent.RunEnded}"`))
		.map((line) => JSON.parse(line) as Line)
}

async function counted(subject: LeaderSubject, cause: string): Promise<number> {
	const line = (await subject.meter.text())
		.split('\n')
		.find((text) => text.includes(`wasted_processor_seconds_total{cause="${cause}"}`))
	return Number(line?.split(' ').at(-1))
}

/** @returns a leader whose worker has run a task of two processors for three seconds. */
function subjectWithRun(step: object = {}): LeaderSubject {
	const subject = new LeaderSubject()
	subject.heartbeat('w1')
	subject.submit(JOB, jobOf({ need: TWO_PROCESSORS, ...step }))
	subject.run(3000, 'w1')
	return subject
}

test('all work of a cancelled job counts as wasted, whatever its checkpoint', async () => {
	const subject = subjectWithRun({ checkpoints: true })
	subject.worker('w1').running[0] = { ...subject.worker('w1').running[0], checkpoint: 'c1' }
	subject.run(1000, 'w1')
	subject.call({ kind: 'cancel', to: { id: JOB } })
	subject.run(1000, 'w1')
	const [{ cause, wasted }, ...more] = endsOf(subject)
	assert.deepEqual(more, [])
	assert.equal(cause, 'cancelled')
	assert.ok(wasted > 7.5 && wasted < 10.5, `${wasted}`)
	assert.ok(Math.abs((await counted(subject, 'cancelled')) - wasted) < 0.1)
})

test('for a run that fails only the work after its newest checkpoint counts', () => {
	const subject = subjectWithRun({ checkpoints: true })
	const [run] = subject.worker('w1').running
	subject.worker('w1').running[0] = { ...run, checkpoint: 'c1' }
	subject.run(1000, 'w1')
	subject.worker('w1').end(`${JOB}.0.0.0`, 'failed', 'c1')
	subject.run(500, 'w1')
	const [{ cause, wasted }] = endsOf(subject)
	assert.equal(cause, 'failed')
	assert.ok(wasted > 1 && wasted < 3.5, `${wasted}`)
})

test('a gang distinguishes the member that failed from those that ended because of it', () => {
	const subject = subjectWithRun({ gang: true, count: 2, need: { ...TWO_PROCESSORS, cpu: 1000 } })
	subject.worker('w1').end(`${JOB}.0.0.0`, 'failed')
	subject.worker('w1').end(`${JOB}.0.0.1`, 'broken')
	subject.run(500, 'w1')
	assert.deepEqual(
		endsOf(subject).map(({ cause }) => cause),
		['failed', 'broken']
	)
})

test('a lasting run that is stopped because its worker leaves has that cause and wastes nothing', () => {
	const subject = subjectWithRun({ lasting: true })
	subject.heartbeat('w1', {}, true, 20_000)
	subject.run(1000, 'w1')
	const [{ cause, wasted }] = endsOf(subject)
	assert.equal(cause, 'leaving')
	assert.equal(wasted, 0)
})

test('a run whose worker becomes unreachable for good is lost', () => {
	const subject = subjectWithRun()
	subject.worker('w1').isUnresponsive = true
	subject.run(12_000)
	const [{ cause, wasted }] = endsOf(subject)
	assert.equal(cause, 'lost')
	assert.ok(wasted > 5, `${wasted}`)
})
