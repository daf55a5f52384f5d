/** Whole sessions against their kept transcripts; `npm run golden -- --update` rewrites them. */
import assert from 'node:assert/strict'
import { readFileSync } from 'node:fs'
import { join } from 'node:path'
import { test } from 'node:test'
import { GOLDEN_FOLDER } from './goldenFolder'
import { SESSIONS } from './sessions'

for (const { file, play } of SESSIONS) {
	test(`the session ${file} goes as it is kept`, () => {
		assert.equal(play(), readFileSync(join(GOLDEN_FOLDER, file), 'utf8'))
	})
}
