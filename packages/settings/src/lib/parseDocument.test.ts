/** All findings are reported together, each with its line and column. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { formatFinding } from '@rillrudder/utils'
import { parseConfiguration } from './configuration'
import { parseIntent } from './intent'

test('the quantities of an intent are converted to standard units', () => {
	const text = `
kind: batch
name: reconcile
team: settlement
tasks: 3
each: { cpu: 500m, memory: 2Gi }
deadline: 2026-03-06T05:00:00Z
runTime: 20m
`
	const read = parseIntent('reconcile.yaml', text)
	assert.ok(read.ok)
	assert.deepEqual(read.value.each, { cpu: 500, memory: 2048, accelerators: 0 })
	assert.equal(read.value.runTime, 1_200_000)
})

test('all findings are in one report, with line and column', () => {
	const text = `kind: service
name: Tally Monitor
team: petitions
tasks: 0
each:
  cpu: many
  memory: 2G
extra: 1
`
	const read = parseIntent('monitor.yaml', text)
	assert.ok(!read.ok)
	const lines = read.error.map(formatFinding)
	assert.equal(lines.length, 5)
	assert.match(lines.join('\n'), /monitor.yaml:2:7: name: not a name/)
	assert.match(lines.join('\n'), /monitor.yaml:6:8: each.cpu: not an amount of processors/)
	assert.match(lines.join('\n'), /monitor.yaml:8:1: extra: Unrecognized key/)
	assert.match(lines.join('\n'), /monitor.yaml:7:11: each.memory: not an amount of memory/)
})

test('invalid YAML is reported with its line', () => {
	const read = parseConfiguration('cell.yaml', 'teams: [\n')
	assert.ok(!read.ok)
	assert.equal(read.error[0].place.line, 2)
})

test('a duplicate name is reported', () => {
	const text = `customers:
  - { name: batumi, home: vake }
  - { name: batumi, home: isani }
`
	const read = parseConfiguration('cell.yaml', text)
	assert.ok(!read.ok)
	assert.equal(formatFinding(read.error[0]).includes('cell.yaml:3:13: customers[1].name'), true)
})
