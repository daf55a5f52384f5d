/** When a task is isolated, held and no longer started because of the workers that it has lost. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import {
	CrashEvidence,
	removeSilentWorker,
	addCrash,
	addSilentWorker,
	Suspicion,
	suspicionOf,
	type TaskCrashes,
} from './TaskCrashes'

const { Strong, Doubtful, Weak } = CrashEvidence

function crashedWith(...evidence: CrashEvidence[]): TaskCrashes {
	const task: TaskCrashes = {}
	evidence.forEach((one, index) => addCrash(task, `w${index}`, one))
	return task
}

test('three strong, five strong or doubtful or ten crashes of any kind prove that a task is the cause', () => {
	const cases: readonly [CrashEvidence[], Suspicion][] = [
		[[], Suspicion.None],
		[[Weak, Weak, Weak], Suspicion.None],
		[[Doubtful], Suspicion.Suspected],
		[[Strong], Suspicion.Isolated],
		[[Doubtful, Doubtful], Suspicion.Isolated],
		[[Strong, Strong], Suspicion.Isolated],
		[[Strong, Strong, Strong], Suspicion.Proven],
		[[Strong, Strong, Doubtful, Doubtful], Suspicion.Isolated],
		[[Strong, Strong, Doubtful, Doubtful, Doubtful], Suspicion.Proven],
		[Array<CrashEvidence>(9).fill(Weak), Suspicion.None],
		[Array<CrashEvidence>(10).fill(Weak), Suspicion.Proven],
	]
	for (const [evidence, expected] of cases) {
		assert.equal(suspicionOf(crashedWith(...evidence)), expected, evidence.join(' '))
	}
})

test('a crash that is reported twice counts once', () => {
	const task = crashedWith(Strong)
	addCrash(task, 'w0', Strong)
	assert.deepEqual(task.crashed, [{ worker: 'w0', evidence: Strong }])
})

test('a task is held while the fate of a second lost worker is unknown', () => {
	const task: TaskCrashes = {}
	addSilentWorker(task, { worker: 'w1', evidence: Strong })
	assert.equal(suspicionOf(task), Suspicion.Isolated)
	addSilentWorker(task, { worker: 'w2', evidence: Doubtful })
	assert.equal(suspicionOf(task), Suspicion.Held)
	removeSilentWorker(task, 'w2')
	addCrash(task, 'w1', Weak)
	assert.equal(suspicionOf(task), Suspicion.Isolated)
	assert.deepEqual(task, { crashed: [{ worker: 'w1', evidence: Strong }] })
})
