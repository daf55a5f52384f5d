/** What an operator wants to run. */
import type { Finding, Result } from '@rillrudder/utils'
import { z } from 'zod'
import { parseDocument } from './parseDocument'
import { duration, memory, name, processors } from './quantities'

/** The kinds of intent, each with a policy of its own. @public */
export const IntentKind = {
	/** Stays up; spread over racks. */
	Service: 'service',
	/** Runs to its end, before its deadline if it has one. */
	Batch: 'batch',
	/** Starts only when all its tasks can start. */
	Gang: 'gang',
} as const
/** One of the kinds. @public */
export type IntentKind = (typeof IntentKind)[keyof typeof IntentKind]

const MOST_TASKS = 20_000

/** The schema of an intent. @public */
export const intentSchema = z
	.strictObject({
		kind: z.enum([IntentKind.Service, IntentKind.Batch, IntentKind.Gang]),
		name,
		team: name,
		/** Where its tasks run; the data centre of the instance that is asked by default. */
		dataCentre: name.optional(),
		tasks: z.number().int().min(1).max(MOST_TASKS).default(1),
		/** What each task is given. */
		each: z.strictObject({
			cpu: processors,
			memory,
			accelerators: z.number().int().min(0).default(0),
		}),
		urgent: z.boolean().default(false),
		/** Moment by which the batch must have ended, ISO 8601. */
		deadline: z.iso.datetime({ offset: true }).optional(),
		/** How long a task is expected to run; a hint. */
		runTime: duration.optional(),
		/** Whether a task can be stopped and go on later from where it was. */
		checkpoints: z.boolean().default(false),
		/** Least processors a task goes on with when it is throttled. */
		throttleTo: processors.optional(),
		/** Passed to the worker as it is. */
		command: z.array(z.string()).default([]),
	})
	.superRefine((intent, context) => {
		if (intent.kind !== IntentKind.Batch && intent.deadline) {
			const message = 'only a batch has a deadline'
			context.addIssue({ code: 'custom', path: ['deadline'], message })
		}
	})

/** The schema of an intent that has been read: amounts are numbers. @public */
export const parsedIntentSchema = z.object({
	kind: z.enum([IntentKind.Service, IntentKind.Batch, IntentKind.Gang]),
	name: z.string(),
	team: z.string(),
	dataCentre: z.string().optional(),
	tasks: z.number().int(),
	each: z.object({ cpu: z.number(), memory: z.number(), accelerators: z.number() }),
	urgent: z.boolean(),
	deadline: z.string().optional(),
	runTime: z.number().optional(),
	checkpoints: z.boolean(),
	throttleTo: z.number().optional(),
	command: z.array(z.string()),
})

/** An intent. Processors in thousandths, memory in MiB, spans in milliseconds. @public */
export type Intent = z.infer<typeof intentSchema>

/**
 * @param source - where the text is from, for findings.
 * @param text - YAML.
 * @returns the intent, or all findings.
 * @public
 */
export function parseIntent(source: string, text: string): Result<Intent, Finding[]> {
	return parseDocument(source, text, intentSchema)
}
