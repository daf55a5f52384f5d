/** The programs of the pages are found after a fresh install, and not asked of a registry. */
import assert from 'node:assert/strict'
import { execFileSync } from 'node:child_process'
import { existsSync } from 'node:fs'
import { join } from 'node:path'
import { test } from 'node:test'

const ROOT = join(__dirname, '../../../..')

for (const program of ['rrctl', 'rr-control', 'rr-entry']) {
	test(`${program} is linked by the install and starts`, () => {
		const path = join(ROOT, 'node_modules/.bin', program)
		assert.ok(existsSync(path), `${path} is missing`)
		assert.match(execFileSync(path, ['--version']).toString(), /^\d+\.\d+\.\d+/)
	})
}
