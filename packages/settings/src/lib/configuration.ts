/** The configuration of the whole system: one document, accepted as a whole as one revision. */
import type { Finding, Result } from '@rillrudder/utils'
import { z } from 'zod'
import { parseDocument } from './parseDocument'
import { duration, memory, name, processors } from './quantities'

const team = z.strictObject({
	name,
	/** Weight of the team's share of the cell when teams compete for capacity. */
	weight: z.number().positive().default(1),
	quota: z.strictObject({
		cpu: processors,
		memory,
		accelerators: z.number().int().min(0).default(0),
	}),
})

const customer = z.strictObject({
	name,
	/** The data centre that orders this customer's requests. */
	home: name,
	/** Whether its repeatable requests may overlap its other requests. */
	readsOverlap: z.boolean().default(true),
	/** Whether its repeatable requests may run in another data centre while its home is unreachable. */
	repeatableElsewhere: z.boolean().default(true),
	/** Maximum number of waiting requests of this customer; defaults to `limits.customerQueue`. */
	queue: z.number().int().positive().optional(),
})

const limits = z.strictObject({
	/** Maximum number of waiting requests in one data centre. */
	queue: z.number().int().positive().default(20_000),
	customerQueue: z.number().int().positive().default(500),
	/** Retry budget as a share of first attempts. */
	retryShare: z.number().min(0).max(1).default(0.1),
	/** How long an answer is stored to be returned for a repeated key. */
	keepAnswers: duration.default(600_000),
	/** How long a key is remembered. */
	keepKeys: duration.default(86_400_000),
	/** Memory for stored answers in one data centre, in MiB; the oldest are evicted first. */
	answerMemory: memory.default(64),
})

const slots = z.strictObject({
	perWorker: z.number().int().min(1).max(64).default(8),
	connections: z.number().int().min(1).default(60),
	/** Reserved for each slot, so that requests and tasks together never overcommit a worker. */
	cpu: processors.default(250),
	memory: memory.default(256),
})

/** The schema of a configuration. @public */
export const configurationSchema = z
	.strictObject({
		teams: z.array(team).default([]),
		customers: z.array(customer).default([]),
		limits: limits.default(limits.parse({})),
		slots: slots.default(slots.parse({})),
	})
	.superRefine((document, context) => {
		reportDuplicateNames(document.teams, 'teams', context)
		reportDuplicateNames(document.customers, 'customers', context)
	})

/** A configuration. Processors in thousandths, memory in MiB, durations in milliseconds. @public */
export type Configuration = z.infer<typeof configurationSchema>

/** The configuration in force before any revision is accepted. @public */
export const DEFAULT_CONFIGURATION: Configuration = configurationSchema.parse({})

/**
 * @param source - name of the source, used in findings.
 * @param text - YAML.
 * @returns the configuration, or all findings.
 * @public
 */
export function parseConfiguration(source: string, text: string): Result<Configuration, Finding[]> {
	return parseDocument(source, text === '' ? '{}' : text, configurationSchema)
}

function reportDuplicateNames(
	items: { name: string }[],
	path: string,
	context: z.RefinementCtx
): void {
	const seen = new Set<string>()
	items.forEach((one, index) => {
		if (seen.has(one.name)) {
			const message = `${one.name} stands here a second time`
			context.addIssue({ code: 'custom', path: [path, index, 'name'], message })
		}
		seen.add(one.name)
	})
}
