import assert from 'node:assert/strict'
import { test } from 'node:test'
import { DEFAULT_STEP, type Step } from '@rillrudder/jobs'
import { hasRoomTwice, isHalfFree, type RoomyMachine } from './FleetRoom'

function machine(usedCpu: number, rack = 'r0', label = 'a'): RoomyMachine {
	const capacity = { cpu: 4000, memory: 8000, accelerators: 0 }
	const worker = { id: 'w', rack, labels: [label], capacity }
	return { worker, used: { cpu: usedCpu, memory: 0, accelerators: 0 } }
}

function step(cpu: number, more: Partial<Step> = {}): Step {
	return { ...DEFAULT_STEP, need: { cpu, memory: 100, accelerators: 0 }, ...more }
}

test('a fleet is half free while under half of each resource is in use', () => {
	assert.ok(isHalfFree([machine(3900), machine(0)]))
	assert.ok(!isHalfFree([machine(4000), machine(0)]))
	const memory = { ...machine(0), used: { cpu: 0, memory: 4000, accelerators: 0 } }
	assert.ok(!isHalfFree([memory]))
	assert.ok(!isHalfFree([]))
})

test('room counts on whole machines, twice over', () => {
	assert.ok(hasRoomTwice(step(2000), [machine(0)]))
	assert.ok(!hasRoomTwice(step(2001), [machine(0)]))
	assert.ok(!hasRoomTwice(step(2001), [machine(2000), machine(2000), machine(0)]))
	assert.ok(hasRoomTwice(step(2001), [machine(1999), machine(0)]))
})

test('room counts within the labels and the tasks per worker of the step', () => {
	assert.ok(!hasRoomTwice(step(100, { requires: 'b' }), [machine(0)]))
	assert.ok(hasRoomTwice(step(100, { requires: 'b' }), [machine(0, 'r0', 'b')]))
	assert.ok(!hasRoomTwice(step(100, { mostPerWorker: 1 }), [machine(0)]))
	assert.ok(hasRoomTwice(step(100, { mostPerWorker: 1 }), [machine(0), machine(0)]))
})

test('a gang needs room for all members, in one rack if it asks for that', () => {
	const gang = step(2000, { gang: true, count: 2 })
	const apart = [machine(0, 'r0'), machine(0, 'r1')]
	assert.ok(!hasRoomTwice(gang, [machine(0)]))
	assert.ok(hasRoomTwice(gang, apart))
	assert.ok(!hasRoomTwice({ ...gang, sameRack: true }, apart))
	assert.ok(hasRoomTwice({ ...gang, sameRack: true }, [machine(0), machine(0)]))
})
