/** The accepted share of new jobs follows the delay of the event loop. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { AdmissionControl } from './AdmissionControl'

const IDS = Array.from({ length: 2000 }, (_, number) => number.toString(16).padStart(16, '0'))
/** Delays of the event loop in milliseconds: one that keeps up, and one that is overloaded. */
const SHORT_DELAY = 2
const LONG_DELAY = 40

function controlAfter(...delays: number[]): AdmissionControl {
	const control = new AdmissionControl()
	for (const delay of delays) control.update(delay)
	return control
}

function admittedBy(control: AdmissionControl): string[] {
	return IDS.filter((id) => control.admits(id))
}

test('while the loop keeps up, all jobs are accepted', () => {
	const control = controlAfter(...Array<number>(40).fill(SHORT_DELAY))
	assert.equal(admittedBy(control).length, IDS.length)
})

test('under overload the share falls within a second and never to nothing', () => {
	const control = controlAfter(...Array<number>(4).fill(LONG_DELAY))
	assert.ok(control.share < 0.3)
	for (let period = 0; period < 40; period++) control.update(LONG_DELAY)
	assert.equal(control.share, 0.1)
})

test('jobs with similar ids are accepted in proportion to the share', () => {
	const control = controlAfter(LONG_DELAY, LONG_DELAY)
	const share = admittedBy(control).length / IDS.length
	assert.ok(Math.abs(share - control.share) < 0.05, `${share} of ${control.share}`)
})

// Guards against accepting each job on a late try: its client would get an answer, but a late one.
test('all tries of a job get the same answer, and a job accepted at a small share is at a larger one', () => {
	const control = controlAfter(LONG_DELAY, LONG_DELAY, LONG_DELAY)
	const few = admittedBy(control)
	assert.deepEqual(admittedBy(control), few)
	control.update(SHORT_DELAY)
	const more = new Set(admittedBy(control))
	assert.ok(more.size > few.length)
	assert.ok(few.every((id) => more.has(id)))
})

test('four seconds after an overload all jobs are accepted again', () => {
	const control = controlAfter(...Array<number>(40).fill(LONG_DELAY))
	for (let period = 0; period < 16; period++) control.update(SHORT_DELAY)
	assert.equal(control.share, 1)
})

test('the fewer jobs are accepted, the later clients may retry', () => {
	assert.equal(controlAfter().retryAfter, 1000)
	assert.ok(controlAfter(LONG_DELAY, LONG_DELAY).retryAfter > 1500)
	assert.equal(controlAfter(...Array<number>(40).fill(LONG_DELAY)).retryAfter, 4000)
})
