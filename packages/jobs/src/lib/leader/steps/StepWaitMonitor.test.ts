/** Waits of steps and their reasons show in a gauge, a log line and the explanation of a job. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { LeaderSubject } from '../../testing/LeaderSubject'
import { jobOf } from '../../testing/samples'
import { LeaderEvent } from '../LeaderEvent'

const JOB = '00000000000000aa'
const WIDE = { need: { cpu: 4000, memory: 512, accelerators: 0 } }

function reasonOf(subject: LeaderSubject): string {
	const reply = subject.call({ kind: 'explain-job', id: JOB })
	assert.equal(reply?.kind, 'explanation')
	return reply.explanation.steps[0].reason
}

async function oldestWait(subject: LeaderSubject, reason: string): Promise<number> {
	subject.controller.measure()
	const line = (await subject.meter.text())
		.split('\n')
		.find((text) => text.includes(`oldest_wait_ms{reason="${reason}"}`))
	return Number(line?.split(' ').at(-1))
}

function longWaitLines(subject: LeaderSubject): string[] {
	return subject.logLines.filter((line) => line.includes(`"${LeaderEvent.StepWaitsLong}"`))
}

test('a step without capacity is explained with reason, duration and end, and is not logged as a long wait', async () => {
	const subject = new LeaderSubject()
	subject.heartbeat('w1')
	subject.submit(JOB, jobOf({ count: 2, ...WIDE }))
	subject.run(8000, 'w1')
	assert.match(
		reasonOf(subject),
		/^none of 1 open workers has capacity .* for 8000 ms, until runs end/
	)
	assert.equal(await oldestWait(subject, 'room'), 8000)
	assert.equal(await oldestWait(subject, 'advice'), 0)
	assert.deepEqual(longWaitLines(subject), [])
})

test('a step that waits too long although there is capacity is logged once', async () => {
	const subject = new LeaderSubject({ advice: { base: 30, each: 0, valid: 2000 } })
	subject.isAllowed = (worker) => worker === 'w9'
	for (const worker of ['w1', 'w9']) subject.heartbeat(worker)
	subject.submit(JOB, jobOf({ count: 2, ...WIDE }))
	subject.run(9000, 'w1', 'w9')
	subject.controller.measure()
	subject.controller.measure()
	const [line, ...more] = longWaitLines(subject)
	assert.deepEqual(more, [])
	assert.match(line, /"step":"00000000000000aa\.0\.0".*"waiting":1,/)
	assert.match(
		line,
		/"reason":"capacity for all its tasks is reserved and expected in .*"until":"the runs on that capacity end"/
	)
	assert.ok((await oldestWait(subject, 'reservation')) > 5000)
})
