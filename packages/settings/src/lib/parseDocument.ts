/** Parses and validates a YAML document; every finding has its line and column. */
import { failure, success, type Finding, type Result } from '@rillrudder/utils'
import {
	isMap,
	isNode,
	isScalar,
	LineCounter,
	parseDocument as parseYaml,
	type Document,
} from 'yaml'
import type { z } from 'zod'

/**
 * Parses a document and validates it against a schema.
 *
 * @param source - name of the source, used in findings.
 * @param text - YAML.
 * @param schema - the schema to validate against.
 * @returns the value, or all findings.
 * @public
 */
export function parseDocument<Schema extends z.ZodType>(
	source: string,
	text: string,
	schema: Schema
): Result<z.infer<Schema>, Finding[]> {
	const lines = new LineCounter()
	const document = parseYaml(text, { lineCounter: lines, prettyErrors: false })
	if (document.errors.length > 0) {
		return failure(
			document.errors.map((error) => {
				const { line, col } = lines.linePos(error.pos[0])
				return { place: { source, path: '', line, column: col }, message: error.message }
			})
		)
	}
	const parsed = schema.safeParse(document.toJS())
	if (parsed.success) return success(parsed.data)
	return failure(parsed.error.issues.map((issue) => locate(source, document, lines, issue)))
}

function locate(
	source: string,
	document: Document,
	lines: LineCounter,
	issue: z.core.$ZodIssue
): Finding {
	const path = issue.code === 'unrecognized_keys' ? [...issue.path, issue.keys[0]] : issue.path
	const { line, col } = lines.linePos(keyOffset(document, issue) ?? offsetOf(document, path))
	const place = { source, path: formatPath(path), line, column: col }
	return { place, message: issue.message }
}

/** @returns the offset of an unrecognized key; it is reported at the key, not at its value. */
function keyOffset(document: Document, issue: z.core.$ZodIssue): number | undefined {
	if (issue.code !== 'unrecognized_keys') return undefined
	const parent = issue.path.length === 0 ? document.contents : document.getIn(issue.path, true)
	if (!isMap(parent)) return undefined
	const pair = parent.items.find((item) => isScalar(item.key) && item.key.value === issue.keys[0])
	return isNode(pair?.key) ? pair.key.range?.[0] : undefined
}

/** @returns the offset of the node at a path, or of its nearest existing ancestor. */
function offsetOf(document: Document, path: readonly PropertyKey[]): number {
	for (let depth = path.length; depth > 0; depth--) {
		const node = document.getIn(path.slice(0, depth), true)
		if (isNode(node) && node.range) return node.range[0]
	}
	return 0
}

function formatPath(path: readonly PropertyKey[]): string {
	return path
		.map((part) => (typeof part === 'number' ? `[${part}]` : `.${String(part)}`))
		.join('')
		.replace(/^\./, '')
}
