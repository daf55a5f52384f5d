/** Counters, gauges and histograms of one process, exported in the Prometheus text format. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client'

/** All metrics for scrapers. Labels are few and bounded, so that the export stays small. @public */
export const Measure = {
	/** Counter by `kind` and `outcome`: calls of clients, workers and operators answered here. */
	Calls: 'calls_total',
	/** Histogram by `kind`, milliseconds: from the arrival of a call to its reply. */
	CallTime: 'call_time_ms',
	/** Counter by `state`: jobs that reached a final state. */
	JobsEnded: 'jobs_ended_total',
	/** Histogram by `state`, milliseconds: from the acceptance of a job to its final state. */
	JobTime: 'job_time_ms',
	/** Histogram by `priority`, milliseconds: from when a step could start to the decision to start its runs. */
	StepWait: 'step_wait_ms',
	/** Counter by `priority` and `reason`, milliseconds: time that steps waited for a start. */
	StepWaits: 'step_waits_ms_total',
	/** Histogram by `full`, milliseconds: duration of one pass over the waiting steps. */
	PassTime: 'pass_time_ms',
	/** Histogram, milliseconds: from the decision to start a run to the confirmation of its worker. */
	StartDelay: 'start_delay_ms',
	/** Counter by `how`: runs that ended. */
	RunsEnded: 'runs_ended_total',
	/** Counter by `cause`, processor seconds: reserved for work of runs that was discarded. */
	WastedWork: 'wasted_processor_seconds_total',
	/** Counter by `evidence`: worker crashes while a task ran, one for each task on the worker. */
	TaskCrashes: 'task_crashes_total',
	/** Counter: tasks that were abandoned because they crash their workers. */
	TasksGivenUp: 'tasks_given_up_total',
	/** Counter by `priority`: steps whose queue policy allowed none of the open workers. */
	StepsBarred: 'steps_barred_total',
	/** Counter: steps with startable tasks that no change event reported, found by a periodic check. */
	MissedWork: 'missed_work_total',
	/** Counter: messages from other instances that could not be decoded. */
	MessagesUnreadable: 'messages_unreadable_total',
	/** Counter by `call`: calls that failed because of an internal error. */
	CallsFaulty: 'calls_faulty_total',
	/** Counter: runs preempted to free capacity for work of the highest priority at a service. */
	Preemptions: 'preemptions_total',
	/** Counter: runs moved away from a worker on which they stalled. */
	Moves: 'moves_total',
	/** Counter: times that a worker with stalled runs was detected. */
	StalledWorkers: 'stalled_workers_total',
	/** Counter by `order` and `result`: orders to workers. */
	Orders: 'orders_total',
	/** Histogram by `order`, milliseconds: until a worker answered. */
	OrderTime: 'order_time_ms',
	/** Counter by `outcome`: answers to requests for advice. */
	Advice: 'advice_total',
	/** Histogram, milliseconds: from a request for advice, including queueing, to its answer. */
	AdviceTime: 'advice_time_ms',
	/**
	 * Histogram, milliseconds: difference between the start for which a gang requested its tickets and
	 * its actual start.
	 */
	GangPlanError: 'gang_plan_error_ms',
	/** Histogram, milliseconds: from the start orders for a gang's members until all have joined. */
	GangGathering: 'gang_gathering_ms',
	/** Counter by `reason`: gang attempts that were abandoned before all members had joined. */
	GangsGivenUp: 'gangs_given_up_total',
	/** Histogram, milliseconds: from a proposal to its application. */
	CommitTime: 'commit_time_ms',
	/** Counter: times that this instance became leader. */
	Leaderships: 'leaderships_total',
	/** Gauge: term of the group as known to this instance. */
	Term: 'term',
	/** Gauge: 1 while this instance is leader, otherwise 0. */
	Leads: 'leads',
	/** Gauge by `state`: workers open, unreachable, draining. */
	Workers: 'workers',
	/** Gauge: workers classified as slow. */
	SlowWorkers: 'slow_workers',
	/**
	 * Gauge: speed of the slowest quarter of the workers as a share of the median; 1 while too few
	 * speeds are known.
	 */
	SlowestShare: 'slowest_workers_share',
	/** Gauge: runs that are placed on workers and have not ended, whether these have confirmed them or not. */
	Runs: 'runs',
	/** Counter: workers that were kept free of new starts for an isolated task. */
	Cordons: 'cordons_total',
	/** Gauge by `priority`: steps with tasks that wait to start. */
	StepsWaiting: 'steps_waiting',
	/** Gauge by `reason`, milliseconds: the longest current wait of a step for this reason. */
	OldestWait: 'oldest_wait_ms',
	/** Gauge: limit of concurrent starts while the cell is behind with them; 0 for no limit. */
	StartWindow: 'start_window',
	/** Gauge: share of new jobs that the leader accepts; below 1 while it is overloaded. */
	AdmittedShare: 'admitted_share',
	/**
	 * Gauge by `account` and `service`, for fifty pairs at most: the guaranteed share of the capacity,
	 * from 0 to 1.
	 */
	AccountShare: 'account_share',
	/** Gauge by `account` and `service`, for the same pairs: the share of the capacity in use. */
	AccountUse: 'account_use',
	/** Counter: times that a client account exceeded its share of a service. */
	SharesExceeded: 'shares_exceeded_total',
	/** Gauge: voters of the group. */
	Voters: 'voters',
	/** Gauge: version of the configuration in force. */
	Configuration: 'configuration_version',
	/** Gauge, milliseconds: delay of the event loop. */
	LoopDelay: 'loop_delay_ms',
	/** Gauge: calls in flight at an entry instance. */
	CallsUnderWay: 'calls_under_way',
	/** Gauge by `peer`, at a leader: share of its workers that a carrier keeps while it is late. */
	CarrierKept: 'carrier_kept',
	/** Gauge: log lines dropped since the start. */
	LinesLeftOut: 'log_lines_left_out',
} as const
/** Name of a metric, without the common prefix. @public */
export type Measure = (typeof Measure)[keyof typeof Measure]

/** Label values of one sample. @public */
export interface Labels {
	readonly [name: string]: string
}

const PREFIX = 'rillrudder_'
/** Histogram bounds in milliseconds, from the time of a commit to that of the longest job. */
const BUCKET_BOUNDS_MS = [1, 3, 10, 30, 100, 300, 1000, 3000, 10_000, 30_000]

/**
 * The metrics of one process for scrapers.
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

	/** Adds to a counter, 1 by default. */
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

	/** Records a duration in a histogram. */
	observe(measure: Measure, milliseconds: number, labels: Labels = {}): void {
		let histogram = this.histograms.get(measure)
		if (!histogram) {
			histogram = new Histogram({ ...this.options(measure, labels), buckets: BUCKET_BOUNDS_MS })
			this.histograms.set(measure, histogram)
		}
		histogram.observe({ ...labels }, milliseconds)
	}

	/** @returns all metrics in the Prometheus text format. */
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
