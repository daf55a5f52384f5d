/** Prints replies: tables for people, JSON for programs. */
import Table from 'cli-table3'
import { ExitCode } from '@rillrudder/program'
import type { Result } from '@rillrudder/utils'
import type { JsonResponse, RequestError } from '@rillrudder/web'

/** A reply of the operators' API. @internal */
export interface ApiReply {
	readonly message?: string
	readonly content?: unknown
}

/** Prints the content of a good reply. @internal */
export type Printer = (content: unknown) => void

const PLAIN = {
	top: '',
	'top-mid': '',
	'top-left': '',
	'top-right': '',
	bottom: '',
	'bottom-mid': '',
	'bottom-left': '',
	'bottom-right': '',
	left: '',
	'left-mid': '',
	mid: '',
	'mid-mid': '',
	right: '',
	'right-mid': '',
	middle: '  ',
}

/**
 * Prints a reply.
 *
 * @param reply - the reply, or why there is none.
 * @param json - whether programs read it.
 * @param print - prints the content for people.
 * @returns the exit code.
 * @internal
 */
export function show(
	reply: Result<JsonResponse, RequestError>,
	json: boolean,
	print: Printer
): ExitCode {
	if (!reply.ok) {
		process.stderr.write(`no answer: ${reply.error.message}\n`)
		return ExitCode.Unreachable
	}
	const { status } = reply.value
	const body = (reply.value.body ?? {}) as ApiReply
	if (json) process.stdout.write(`${JSON.stringify({ status, ...body })}\n`)
	else if (status === 200) print(body.content)
	else process.stderr.write(`${body.message ?? `status ${status}`}\n`)
	if (status !== 200 && !json && body.content !== undefined) print(body.content)
	return exitCode(status)
}

/** Prints rows under headings. @internal */
export function table(head: string[], rows: (string | number | undefined)[][]): void {
	const options = { head, chars: PLAIN, style: { head: [], border: [], 'padding-left': 0 } }
	const made = new Table(options)
	for (const row of rows) made.push(row.map((cell) => String(cell ?? '')))
	process.stdout.write(`${made.toString()}\n`)
}

function exitCode(status: number): ExitCode {
	if (status === 200) return ExitCode.Done
	if (status === 400 || status === 422) return ExitCode.Usage
	return status === 503 ? ExitCode.Unreachable : ExitCode.Failed
}
