/** Counters, gauges, histograms, timings and structured logs. */
export { Level, Log, type LogFields } from './lib/Log'
export { Metric, Metrics, type MetricsTarget } from './lib/Metrics'
export { LineWriter, type LineSink } from './lib/LineWriter'
export { Measure, Meter, type Labels } from './lib/Meter'
export { LINES_LEFT_OUT, createProcessLog, type ProcessLog } from './lib/ProcessLog'
