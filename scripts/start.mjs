// Installs, builds and runs a cell on loopback; the words after `npm start --` go to it.
import { existsSync } from 'node:fs'
import { spawnSync } from 'node:child_process'

function run(command, words) {
	const { status } = spawnSync(command, words, { stdio: 'inherit' })
	if (status !== 0) process.exit(status ?? 1)
}

if (!existsSync('node_modules/typescript')) run('npm', ['ci'])
run('npm', ['run', '--silent', 'build'])
run(process.execPath, ['apps/demo/dist/main.js', ...process.argv.slice(2)])
