/** Findings about settings and documents: collected with their place and reported together. */

/** Where a finding was made. @public */
export interface Place {
	/** File, flag or document name. */
	readonly source: string
	/** Path inside the document, such as `customers[2].home`; empty for the whole. */
	readonly path: string
	/** Line from 1; absent where the source has no lines. */
	readonly line?: number
	/** Column from 1; absent where the source has no lines. */
	readonly column?: number
}

/** One thing that is wrong. @public */
export interface Finding {
	readonly place: Place
	readonly message: string
}

/**
 * @param finding - a finding.
 * @returns one line for people: `file:line:column: path: message`.
 * @public
 */
export function formatFinding(finding: Finding): string {
	const { source, path, line, column } = finding.place
	const position = line === undefined ? '' : `:${line}:${column ?? 1}`
	const where = path === '' ? '' : ` ${path}:`
	return `${source}${position}:${where} ${finding.message}`
}
