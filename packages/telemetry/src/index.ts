/** Counters, gauges, timings and structured logs. */
export { Level, Log, type LogFields } from './lib/Log'
export { Metric, Metrics, type MetricsTarget } from './lib/Metrics'
