/** Schemas of quantities in text form: processors (`500m`), memory (`512Mi`), durations (`10m`). */
import { z } from 'zod'

const MILLI = 1000
const MEMORY_UNITS: Record<string, number> = { Mi: 1, Gi: 1024, Ti: 1024 * 1024 }
const DURATION_UNITS: Record<string, number> = {
	ms: 1,
	s: 1000,
	m: 60_000,
	h: 3_600_000,
	d: 86_400_000,
}

/** Processors such as `2`, `0.5` or `500m`; parsed to thousandths of a processor. @public */
export const processors = z
	.union([z.number(), z.string()])
	.transform((written, context) => {
		const match = /^(\d+(?:\.\d+)?)(m?)$/.exec(String(written))
		if (!match) {
			context.addIssue({
				code: 'custom',
				message: 'not an amount of processors, such as 2 or 500m',
			})
			return z.NEVER
		}
		return Math.round(Number(match[1]) * (match[2] === 'm' ? 1 : MILLI))
	})
	.pipe(z.number().min(0))

/** Memory such as `512Mi` or `4Gi`; parsed to MiB. @public */
export const memory = z.string().transform((written, context) => {
	const match = /^(\d+(?:\.\d+)?)(Mi|Gi|Ti)$/.exec(written)
	if (!match) {
		context.addIssue({ code: 'custom', message: 'not an amount of memory, such as 512Mi or 4Gi' })
		return z.NEVER
	}
	return Math.round(Number(match[1]) * MEMORY_UNITS[match[2]])
})

/** A duration such as `250ms`, `30s`, `10m`, `6h` or `1d`; parsed to milliseconds. @public */
export const duration = z.string().transform((written, context) => {
	const match = /^(\d+(?:\.\d+)?)(ms|s|m|h|d)$/.exec(written)
	if (!match) {
		context.addIssue({ code: 'custom', message: 'not a span, such as 250ms, 30s or 10m' })
		return z.NEVER
	}
	return Math.round(Number(match[1]) * DURATION_UNITS[match[2]])
})

/** The name of a team, customer, data centre or intent. @public */
export const name = z
	.string()
	.regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, 'not a name: up to 63 of a-z, 0-9, dot, dash, underscore')
