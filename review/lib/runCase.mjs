/** Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
import { Cell } from './cell.mjs'
import { Record } from './record.mjs'

const LIMIT_MS = 115_000

/**
 * @param folder - the folder of the case.
 * @param play - plays the case; returns what broke the rule, an empty list if it held.
 */
export async function runCase(folder, play) {
	let record
	let cell
	let code = 2
	const finish = async () => {
		await cell?.stop()
		record?.add(`exit ${code}`)
		process.exit(code)
	}
	const giveUp = (reason) => {
		code = 2
		record?.add(`could not run: ${reason}`)
		void finish()
	}
	// Without these, Node would end with 1, as if the rule was broken, and leave processes behind.
	process.once('uncaughtException', (fault) => giveUp(fault.message))
	process.once('unhandledRejection', (fault) => giveUp(String(fault)))
	process.once('SIGTERM', () => giveUp('stopped'))
	process.once('SIGINT', () => giveUp('stopped'))
	const timer = setTimeout(() => giveUp('out of time'), LIMIT_MS)
	try {
		record = new Record(folder)
		cell = new Cell(record)
		const hasTrouble = process.env.TROUBLE !== '0'
		record.add(`TROUBLE=${hasTrouble ? 1 : 0}`)
		const breaks = await play({ cell, record, hasTrouble })
		for (const text of breaks) record.add(`BROKEN: ${text}`)
		code = breaks.length > 0 ? 1 : 0
	} catch (fault) {
		record?.add(`could not run: ${fault.message}`)
	}
	clearTimeout(timer)
	await finish()
}
