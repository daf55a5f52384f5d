/** Writes what was sent, answered and run to `record.txt` in a case's folder. */
import { writeFileSync, appendFileSync } from 'node:fs'
import { join } from 'node:path'
import { performance } from 'node:perf_hooks'

/** The record of one execution of a case. */
export class Record {
	/** @param folder - the folder of the case. */
	constructor(folder) {
		this.file = join(folder, 'record.txt')
		this.startedAt = performance.now()
		writeFileSync(this.file, '')
	}

	/** Milliseconds since the case started. */
	get now() {
		return performance.now() - this.startedAt
	}

	/** Appends a line with the time since the start. */
	add(text) {
		const seconds = (this.now / 1000).toFixed(3).padStart(8)
		appendFileSync(this.file, `${seconds}  ${text}\n`)
	}
}

/** Resolves after some milliseconds. */
export function pause(span) {
	return new Promise((done) => setTimeout(done, span))
}
