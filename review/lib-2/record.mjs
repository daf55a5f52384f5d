/** The record of a case: one line for each thing that was sent, answered, run or disturbed. */
import { writeFileSync, appendFileSync } from 'node:fs'

export class Record {
	constructor(path) {
		this.path = path
		this.startedAt = performance.now()
		writeFileSync(path, '')
	}

	/** Milliseconds since the start of the case. */
	get now() {
		return Math.round(performance.now() - this.startedAt)
	}

	add(text) {
		appendFileSync(this.path, `${String(this.now).padStart(7)} ${text}\n`)
	}
}

export const sleep = (span) => new Promise((done) => setTimeout(done, span))
