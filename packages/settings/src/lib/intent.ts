/** Intents: what an operator wants to run. */
import type { Finding, Result } from '@rillrudder/utils'
import { z } from 'zod'
import { parseDocument } from './parseDocument'
import { duration, memory, name, processors } from './quantities'

/** The kinds of intent; each has its own scheduling policy. @public */
export const IntentKind = {
	/** Runs continuously; its tasks are spread over racks. */
	Service: 'service',
	/** Runs to completion, before its deadline if it has one. */
	Batch: 'batch',
	/** Starts only when all its tasks can start together. */
	Gang: 'gang',
} as const
/** One of the values of `IntentKind`. @public */
export type IntentKind = (typeof IntentKind)[keyof typeof IntentKind]

const MAX_TASKS = 20_000

/** The schema of an intent. @public */
export const intentSchema = z
	.strictObject({
		kind: z.enum([IntentKind.Service, IntentKind.Batch, IntentKind.Gang]),
		name,
		team: name,
		/** Where its tasks run; defaults to the data centre of the instance that receives the intent. */
		dataCentre: name.optional(),
		tasks: z.number().int().min(1).max(MAX_TASKS).default(1),
		/** Resources of each task. */
		each: z.strictObject({
			cpu: processors,
			memory,
			accelerators: z.number().int().min(0).default(0),
		}),
		urgent: z.boolean().default(false),
		/** Time by which the batch must be complete, in ISO 8601. */
		deadline: z.iso.datetime({ offset: true }).optional(),
		/** Expected run time of a task; a hint. */
		runTime: duration.optional(),
		/** Whether a task can be stopped and resumed later from a checkpoint. */
		checkpoints: z.boolean().default(false),
		/** Minimum processors with which a task continues when it is throttled. */
		throttleTo: processors.optional(),
		/** Passed to the worker unchanged. */
		command: z.array(z.string()).default([]),
	})
	.superRefine((intent, context) => {
		if (intent.kind !== IntentKind.Batch && intent.deadline) {
			const message = 'only a batch has a deadline'
			context.addIssue({ code: 'custom', path: ['deadline'], message })
		}
	})

/** The schema of a parsed intent, in which quantities are numbers. @public */
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

/** An intent. Processors in thousandths, memory in MiB, durations in milliseconds. @public */
export type Intent = z.infer<typeof intentSchema>

/**
 * @param source - name of the source, used in findings.
 * @param text - YAML.
 * @returns the intent, or all findings.
 * @public
 */
export function parseIntent(source: string, text: string): Result<Intent, Finding[]> {
	return parseDocument(source, text, intentSchema)
}
