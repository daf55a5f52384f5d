/** The configuration of the whole system: one document, accepted as a whole under one revision. */
import type { Finding, Result } from '@rillrudder/utils'
import { z } from 'zod'
import { parseDocument } from './parseDocument'
import { duration, memory, name, processors } from './quantities'

const team = z.strictObject({
	name,
	/** Share of the cell against other teams when all want more. */
	weight: z.number().positive().default(1),
	quota: z.strictObject({
		cpu: processors,
		memory,
		accelerators: z.number().int().min(0).default(0),
	}),
})

const customer = z.strictObject({
	name,
	/** The data centre that keeps the order of this customer's requests. */
	home: name,
	/** Whether its repeatable requests may overlap its others. */
	readsOverlap: z.boolean().default(true),
	/** Whether its repeatable requests may run elsewhere while its home cannot be reached. */
	repeatableElsewhere: z.boolean().default(true),
	/** Requests of this customer that may wait; the default is `limits.customerQueue`. */
	queue: z.number().int().positive().optional(),
})

const limits = z.strictObject({
	/** Requests that may wait in one data centre. */
	queue: z.number().int().positive().default(20_000),
	customerQueue: z.number().int().positive().default(500),
	/** Retries as a share of first attempts. */
	retryShare: z.number().min(0).max(1).default(0.1),
	/** How long an answer is kept for a resend. */
	keepAnswers: duration.default(600_000),
	/** How long a key is remembered. */
	keepKeys: duration.default(86_400_000),
	/** Answers kept in one data centre, in MiB; the oldest go first. */
	answerMemory: memory.default(64),
})

const slots = z.strictObject({
	perWorker: z.number().int().min(1).max(64).default(8),
	connections: z.number().int().min(1).default(60),
	/** Set aside for each slot, so that requests and tasks never overcommit a worker together. */
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
		reportTwins(document.teams, 'teams', context)
		reportTwins(document.customers, 'customers', context)
	})

/** A configuration. Processors in thousandths, memory in MiB, spans in milliseconds. @public */
export type Configuration = z.infer<typeof configurationSchema>

/** What is in force before any revision was accepted. @public */
export const DEFAULT_CONFIGURATION: Configuration = configurationSchema.parse({})

/**
 * @param source - where the text is from, for findings.
 * @param text - YAML.
 * @returns the configuration, or all findings.
 * @public
 */
export function parseConfiguration(source: string, text: string): Result<Configuration, Finding[]> {
	return parseDocument(source, text === '' ? '{}' : text, configurationSchema)
}

function reportTwins(named: { name: string }[], path: string, context: z.RefinementCtx): void {
	const seen = new Set<string>()
	named.forEach((one, index) => {
		if (seen.has(one.name)) {
			const message = `${one.name} stands here a second time`
			context.addIssue({ code: 'custom', path: [path, index, 'name'], message })
		}
		seen.add(one.name)
	})
}
