/** Every log event is documented with its fields, and only documented events are logged. */
import assert from 'node:assert/strict'
import { readdirSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import { test } from 'node:test'

const ROOT = join(__dirname, '../../../..')
const VOCABULARIES = [
	'packages/jobs/src/lib/leader/LeaderEvent.ts',
	'packages/member/src/lib/MemberEvent.ts',
]
const SOURCES = ['packages/jobs/src', 'packages/member/src', 'platform/src']
const ENTRY = /((?:\t\/\*\*(?:(?!\*\/)[\s\S])*\*\/\n)?)\t(\w+): '([a-z-]+)',/g

function filesBelow(folder: string): string[] {
	return readdirSync(join(ROOT, folder), { withFileTypes: true }).flatMap((entry) => {
		const path = join(folder, entry.name)
		if (entry.isDirectory()) return filesBelow(path)
		return path.endsWith('.ts') && !path.endsWith('.test.ts') ? [path] : []
	})
}

interface Described {
	readonly name: string
	readonly fields: readonly string[]
}

function vocabulary(): Map<string, Described> {
	const found = new Map<string, Described>()
	for (const file of VOCABULARIES) {
		for (const [, comment, name] of readFileSync(join(ROOT, file), 'utf8').matchAll(ENTRY)) {
			assert.notEqual(comment, '', `${name} of ${file} has no doc comment`)
			const fields = [...comment.matchAll(/`(\w+)`/g)].map((match) => match[1])
			found.set(name, { name, fields })
		}
	}
	return found
}

/** Matches log calls that have a named event and its fields in the same expression. */
const CALL = /\.(?:debug|info|warn|error)\(\s*(?:Leader|Member)Event\.(\w+),?\s*(\{[^}]*\})?/g

test('every event is documented, including the fields that log calls write', () => {
	const known = vocabulary()
	assert.ok(known.size > 20)
	for (const file of SOURCES.flatMap(filesBelow)) {
		for (const [, name, body] of readFileSync(join(ROOT, file), 'utf8').matchAll(CALL)) {
			const described = known.get(name)
			assert.ok(described, `${file} logs ${name}, which is not in the vocabulary`)
			for (const field of fieldsOf(body ?? '')) {
				assert.ok(described.fields.includes(field), `${file}: ${name} has no field ${field}`)
			}
		}
	}
})

function fieldsOf(body: string): string[] {
	const flat = body.replace(/\([^()]*\)/g, '').replace(/\s+/g, ' ')
	return [...flat.matchAll(/[{,] ?(\w+)(?=[:,} ])/g)].map((match) => match[1])
}
