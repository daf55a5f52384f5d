/**
 * Validation findings about settings and documents, collected with their location and reported
 * together.
 */

/** Location of a finding. @public */
export interface Place {
	/** File, flag or document name. */
	readonly source: string
	/** Path inside the document, such as `customers[2].home`; empty for the whole document. */
	readonly path: string
	/** Line from 1; absent where the source has no lines. */
	readonly line?: number
	/** Column from 1; absent where the source has no lines. */
	readonly column?: number
}

/** A validation error and its location. @public */
export interface Finding {
	readonly place: Place
	readonly message: string
}

/**
 * Formats a finding for display.
 *
 * @param finding - a finding.
 * @returns one line: `file:line:column: path: message`.
 * @public
 */
export function formatFinding(finding: Finding): string {
	const { source, path, line, column } = finding.place
	const position = line === undefined ? '' : `:${line}:${column ?? 1}`
	const where = path === '' ? '' : ` ${path}:`
	return `${source}${position}:${where} ${finding.message}`
}
