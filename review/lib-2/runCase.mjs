/**
 * Runs a case: exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
 * All processes and stand-ins that the case has started are ended.
 */
import { join } from 'node:path'
import { Cell } from './cell.mjs'
import { Record } from './record.mjs'

const LIMIT_MS = 118_000

/** @param play - gets the cell, the record and whether there is trouble; returns what broke, or ''. */
export async function runCase(folder, play) {
	const record = new Record(join(folder, 'record.txt'))
	const trouble = process.env.TROUBLE !== '0'
	record.add(`case: ${trouble ? 'with' : 'without'} trouble`)
	const cell = new Cell(record)
	const workers = []
	const finish = (code, text) => {
		record.add(text)
		for (const worker of workers) worker.close()
		cell.stop()
		console.log(text)
		process.exit(code)
	}
	// An error of the script's own is no break of the rule.
	process.on('uncaughtException', (fault) => finish(2, `could not run: ${fault.message}`))
	process.on('unhandledRejection', (fault) => finish(2, `could not run: ${fault}`))
	process.on('SIGTERM', () => finish(2, 'could not run: ended from outside'))
	process.on('SIGINT', () => finish(2, 'could not run: ended from outside'))
	setTimeout(() => finish(2, 'could not run: took too long'), LIMIT_MS)
	try {
		await cell.start()
		const broken = await play({ cell, record, trouble, workers })
		if (broken) finish(1, `BROKEN ${broken}`)
		else finish(0, 'held')
	} catch (fault) {
		finish(2, `could not run: ${fault.message}`)
	}
}
