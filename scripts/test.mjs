// Runs every compiled test file with Node's own runner.
import { spawnSync } from 'node:child_process'
import { readdirSync, statSync } from 'node:fs'
import { join } from 'node:path'

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
const run = spawnSync(process.execPath, ['--test', '--test-concurrency=4', ...files], {
	stdio: 'inherit',
})
process.exit(run.status ?? 1)
