/** `npm run golden`: plays the kept sessions and compares them, or rewrites them with `--update`. */
import { readFileSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { ExitCode, runCommand } from '@rillrudder/program'
import { GOLDEN_FOLDER, SESSIONS } from '@rillrudder/runs'
import { command, flag } from 'cmd-ts'

function compare(file: string, played: string): boolean {
	const kept = readFileSync(join(GOLDEN_FOLDER, file), 'utf8')
	if (kept === played) {
		process.stdout.write(`${file}: as it is kept\n`)
		return true
	}
	const keptLines = kept.split('\n')
	const playedLines = played.split('\n')
	const at = playedLines.findIndex((line, number) => line !== keptLines[number])
	process.stdout.write(`${file}: differs from line ${at + 1}\n`)
	process.stdout.write(
		`  kept:   ${keptLines[at] ?? '(end)'}\n  played: ${playedLines[at] ?? '(end)'}\n`
	)
	return false
}

const golden = command({
	name: 'golden',
	version: '0.1.0',
	description: 'Whole sessions against their kept transcripts',
	args: { update: flag({ long: 'update', description: 'rewrite the kept transcripts' }) },
	handler: ({ update }) => {
		let same = true
		for (const { file, play } of SESSIONS) {
			const played = play()
			if (update) writeFileSync(join(GOLDEN_FOLDER, file), played)
			else same = compare(file, played) && same
		}
		return same ? ExitCode.Done : ExitCode.Failed
	},
})

void runCommand(golden, process.argv.slice(2))
