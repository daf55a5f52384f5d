// Runs every compiled test file with Node's own runner. Tests that KNOWN-RED.txt lists may fail, and only those; one of them
// that passes fails the run, so that the list stays true.
import { readdirSync, statSync } from 'node:fs'
import { join, resolve } from 'node:path'
import { run } from 'node:test'
import { spec, tap } from 'node:test/reporters'
import { knownRed } from './knownRed.mjs'

/** Test files that run at a time. */
const CONCURRENCY = 4

function testFiles(folder) {
	const found = []
	for (const name of readdirSync(folder)) {
		if (name === 'node_modules') continue
		const path = join(folder, name)
		if (statSync(path).isDirectory()) found.push(...testFiles(path))
		else if (name.endsWith('.test.js')) found.push(path)
	}
	return found
}

const wanted = process.argv.slice(2)
const files = ['packages', 'apps', 'platform']
	.flatMap((root) => testFiles(root))
	.filter((file) => wanted.length === 0 || wanted.some((part) => file.includes(part)))
	.sort()
	.map((file) => resolve(file))
const listed = knownRed()
const seen = new Set()
const unexpected = []
const red = []
const events = run({ files, concurrency: CONCURRENCY })
events.on('test:fail', ({ name, details }) => {
	// A file or a suite fails with its tests, which are judged by themselves.
	if (details.error?.failureType === 'subtestsFailed') return
	seen.add(name)
	if (listed.has(name)) red.push(name)
	else unexpected.push(name)
})
events.on('test:pass', ({ name }) => {
	seen.add(name)
	if (listed.has(name)) unexpected.push(`${name} (listed in KNOWN-RED.txt, and passes)`)
})
events.on('end', () => {
	for (const name of red) console.log(`# known red: ${listed.get(name)}`)
	// A played day of the users' bench is listed too, and is no test that runs here.
	for (const [name, line] of listed)
		if (!seen.has(name)) console.log(`# known red, not run: ${line}`)
	for (const name of unexpected) console.log(`# failed: ${name}`)
	process.exitCode = unexpected.length > 0 || files.length === 0 ? 1 : 0
})
events.compose(process.stdout.isTTY ? new spec() : tap).pipe(process.stdout)
