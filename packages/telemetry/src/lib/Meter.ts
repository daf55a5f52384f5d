/** Counters, gauges and histograms of one process, served as text that scrapers read. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client'

/** What is measured; labels are few and bounded, so that the text stays short. @public */
export const Measure = {
	/** Counter by `kind` and `outcome`: calls of clients, workers and operators answered here. */
	Calls: 'calls_total',
	/** Histogram by `kind`, milliseconds: from a call's arrival here to its reply. */
	CallTime: 'call_time_ms',
	/** Counter by `state`: jobs that reached their last state. */
	JobsEnded: 'jobs_ended_total',
	/** Histogram by `state`, milliseconds: from a job's acceptance to its last state. */
	JobTime: 'job_time_ms',
	/** Histogram by `priority`, milliseconds: from when a step could begin to its runs' beginning. */
	StepWait: 'step_wait_ms',
	/** Counter by `priority` and `reason`, milliseconds: that steps waited for their runs' beginning. */
	StepWaits: 'step_waits_ms_total',
	/** Histogram by `full`, milliseconds: that one pass over the waiting steps took. */
	PassTime: 'pass_time_ms',
	/** Histogram, milliseconds: from the decision to begin a run to its worker's confirmation. */
	StartDelay: 'start_delay_ms',
	/** Counter by `how`: runs that ended. */
	RunsEnded: 'runs_ended_total',
	/** Counter by `cause`, processor seconds: reserved for work of runs that was thrown away. */
	WastedWork: 'wasted_processor_seconds_total',
	/** Counter by `evidence`: workers that crashed under a task, one for each task that ran there. */
	TaskCrashes: 'task_crashes_total',
	/** Counter: tasks that were given up since they crash their workers. */
	TasksGivenUp: 'tasks_given_up_total',
	/** Counter by `priority`: steps whose queue's policy allowed none of the open workers. */
	StepsBarred: 'steps_barred_total',
	/** Counter: steps with tasks to begin that no change had told of, found by looking again. */
	MissedWork: 'missed_work_total',
	/** Counter: messages of other instances that could not be read. */
	MessagesUnreadable: 'messages_unreadable_total',
	/** Counter by `call`: calls that failed by a fault of this program. */
	CallsFaulty: 'calls_faulty_total',
	/** Counter: runs stopped to make room for work of the highest priority at a service. */
	Preemptions: 'preemptions_total',
	/** Counter: runs moved away from a worker on which they stood still. */
	Moves: 'moves_total',
	/** Counter: times that a worker was found on which runs stand still. */
	StalledWorkers: 'stalled_workers_total',
	/** Counter by `order` and `result`: orders to workers. */
	Orders: 'orders_total',
	/** Histogram by `order`, milliseconds: until a worker answered. */
	OrderTime: 'order_time_ms',
	/** Counter by `outcome`: answers to questions for advice. */
	Advice: 'advice_total',
	/** Histogram, milliseconds: from a question, waiting included, to its answer. */
	AdviceTime: 'advice_time_ms',
	/** Histogram, milliseconds: between the moment that a gang asked its tickets for and its beginning. */
	GangPlanError: 'gang_plan_error_ms',
	/** Histogram, milliseconds: from the orders to start a gang's members to when all of them were there. */
	GangGathering: 'gang_gathering_ms',
	/** Counter by `reason`: attempts of gangs that were given up before all members were there. */
	GangsGivenUp: 'gangs_given_up_total',
	/** Histogram, milliseconds: from a proposal to its being applied. */
	CommitTime: 'commit_time_ms',
	/** Counter: times that this instance began to lead. */
	Leaderships: 'leaderships_total',
	/** Gauge: term of the group as known here. */
	Term: 'term',
	/** Gauge: 1 while this instance leads. */
	Leads: 'leads',
	/** Gauge by `state`: workers open, unreachable, draining. */
	Workers: 'workers',
	/** Gauge: workers that are called slow. */
	SlowWorkers: 'slow_workers',
	/** Gauge: speed of the slowest quarter of the workers as a share of the median; 1 while too few are known. */
	SlowestShare: 'slowest_workers_share',
	/** Gauge: runs that have begun and not ended. */
	Runs: 'runs',
	/** Gauge by `priority`: steps with tasks that wait to begin. */
	StepsWaiting: 'steps_waiting',
	/** Gauge by `reason`, milliseconds: for how long the step waits that waits longest for it. */
	OldestWait: 'oldest_wait_ms',
	/** Gauge: how many starts may be under way at a time while the cell is behind with them; 0 for no bound. */
	StartWindow: 'start_window',
	/** Gauge by `account` and `service`, for fifty of them at most: the share of the room that it may count on, from 0 to 1. */
	AccountShare: 'account_share',
	/** Gauge by `account` and `service`, for the same ones: the share of the room that it holds. */
	AccountUse: 'account_use',
	/** Counter: times that a client account went over its share of a service. */
	SharesExceeded: 'shares_exceeded_total',
	/** Gauge: voters of the group. */
	Voters: 'voters',
	/** Gauge: version of the configuration in force. */
	Configuration: 'configuration_version',
	/** Gauge, milliseconds: how late the event loop runs. */
	LoopDelay: 'loop_delay_ms',
	/** Gauge: callers' calls under way at an entry instance. */
	CallsUnderWay: 'calls_under_way',
	/** Gauge by `peer`, at a leader: share of its workers that a carrier keeps while it is late. */
	CarrierKept: 'carrier_kept',
	/** Gauge: log lines left out since the start. */
	LinesLeftOut: 'log_lines_left_out',
} as const
/** One of the measures. @public */
export type Measure = (typeof Measure)[keyof typeof Measure]

/** Labels of one reading. @public */
export interface Labels {
	readonly [name: string]: string
}

const PREFIX = 'rillrudder_'
/** Bounds of histograms in milliseconds: from a commit to the longest job. */
const BUCKETS = [1, 3, 10, 30, 100, 300, 1000, 3000, 10_000, 30_000]

/**
 * The measures of one process.
 *
 * @example
 * ```ts
 * meter.count(Measure.RunsEnded, { how: 'done' })
 * meter.observe(Measure.CommitTime, 7.2)
 * ```
 * @public
 */
export class Meter {
	private readonly registry = new Registry()
	private readonly counters = new Map<Measure, Counter>()
	private readonly gauges = new Map<Measure, Gauge>()
	private readonly histograms = new Map<Measure, Histogram>()

	/** Adds to a counter, one unless said otherwise. */
	count(measure: Measure, labels: Labels = {}, by = 1): void {
		this.counter(measure, labels).inc({ ...labels }, by)
	}

	/** Sets a gauge. */
	gauge(measure: Measure, value: number, labels: Labels = {}): void {
		let gauge = this.gauges.get(measure)
		if (!gauge) {
			gauge = new Gauge(this.options(measure, labels))
			this.gauges.set(measure, gauge)
		}
		gauge.set({ ...labels }, value)
	}

	/** Records a span in milliseconds. */
	observe(measure: Measure, milliseconds: number, labels: Labels = {}): void {
		let histogram = this.histograms.get(measure)
		if (!histogram) {
			histogram = new Histogram({ ...this.options(measure, labels), buckets: BUCKETS })
			this.histograms.set(measure, histogram)
		}
		histogram.observe({ ...labels }, milliseconds)
	}

	/** @returns all measures as text. */
	text(): Promise<string> {
		return this.registry.metrics()
	}

	private counter(measure: Measure, labels: Labels): Counter {
		let counter = this.counters.get(measure)
		if (!counter) {
			counter = new Counter(this.options(measure, labels))
			this.counters.set(measure, counter)
		}
		return counter
	}

	private options(measure: Measure, labels: Labels) {
		const name = PREFIX + measure
		return { name, help: name, labelNames: Object.keys(labels), registers: [this.registry] }
	}
}
