/**
 * Every command of `rrctl` that the pages show is understood: run against an address where nobody listens, it
 * fails because it can't reach it, and not for its words. Stand-ins take the place of names and files.
 */
import assert from 'node:assert/strict'
import { spawnSync } from 'node:child_process'
import { readdirSync, readFileSync, statSync } from 'node:fs'
import { join } from 'node:path'
import { test } from 'node:test'
import { ExitCode } from '@rillrudder/program'

const ROOT = join(__dirname, '../../../..')
const PROGRAM = join(ROOT, 'apps/ctl/bin/rrctl.js')
const EXAMPLES = join(ROOT, 'apps/demo/examples')
/** A reserved port, so that nobody listens there. */
const NOBODY = '127.0.0.1:1'
const JOB = '{"spec": "text", "steps": [{"count": 1}]}'

const STAND_INS: readonly (readonly [RegExp, string])[] = [
	[/^(HOST|INSTANCE|127\.0\.0\.1):\w+$/, NOBODY],
	[/^(cell|moved)\.yaml$/, join(EXAMPLES, 'configuration.yaml')],
	[/^intent\.yaml$/, join(EXAMPLES, 'tally-watch.yaml')],
	[/^apps\/demo\/examples\//, `${EXAMPLES}/`],
	[/^N$/, '2'],
]

function pages(folder: string): string[] {
	return readdirSync(folder).flatMap((name) => {
		const path = join(folder, name)
		if (statSync(path).isDirectory()) return pages(path)
		return name.endsWith('.md') ? [path] : []
	})
}

/** Commands at the beginning of a line or behind a prompt, and inline ones that name an instance. */
function commandsOf(text: string): string[] {
	const lines = [...text.matchAll(/^npx (rrctl [^#>\n|]*)/gm)].map((match) => match[1])
	const shown = [...text.matchAll(/^\$ (?:.*\| )?(rrctl .*)$/gm)].map((match) => match[1])
	const inline = [...text.matchAll(/`(rrctl [^`]*--at INSTANCE:9464)`/g)].map((match) => match[1])
	return [...lines, ...shown, ...inline].map((command) => command.trim())
}

function standIn(word: string): string {
	for (const [pattern, replacement] of STAND_INS) {
		if (pattern.test(word)) return word.replace(pattern, replacement)
	}
	return word
}

const found = [...pages(join(ROOT, 'docs')), join(ROOT, 'README.md')].flatMap((page) =>
	commandsOf(readFileSync(page, 'utf8'))
)

test('the pages show commands', () => {
	assert.ok(found.length >= 12, `${found.length} commands`)
})

for (const command of new Set(found)) {
	test(`${command}`, () => {
		const words = command.split(/\s+/).slice(1).map(standIn)
		const run = spawnSync(process.execPath, [PROGRAM, ...words], { input: JOB, encoding: 'utf8' })
		assert.equal(run.status, ExitCode.Unreachable, `${run.stdout}${run.stderr}`)
	})
}
