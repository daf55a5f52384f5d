/** Figures of a measurement, for people and for programs. */
import { build, type Histogram } from 'hdr-histogram-js'

/** One measured row: a name and its figures. @public */
export interface Row {
	readonly name: string
	readonly figures: { readonly [figure: string]: number | string }
}

/** A bar that a figure is held against. @public */
export interface Bar {
	readonly what: string
	readonly figure: number
	readonly least?: number
	readonly most?: number
}

/** What a measurement printed. @public */
export interface Measurement {
	readonly title: string
	readonly seed: number
	readonly rows: readonly Row[]
	readonly bars: readonly Bar[]
	readonly notes: readonly string[]
}

const LARGEST = 3_600_000_000

/** @returns a histogram of whole units with three significant digits. */
export function histogram(): Histogram {
	return build({
		bitBucketSize: 64,
		numberOfSignificantValueDigits: 3,
		highestTrackableValue: LARGEST,
	})
}

/** Records a value in units of a thousandth. */
export function record(into: Histogram, value: number): void {
	into.recordValue(Math.min(LARGEST, Math.max(1, Math.round(value * 1000))))
}

/** @returns a percentile in the recorded unit. */
export function percentile(of: Histogram, percent: number): number {
	return of.totalCount === 0 ? 0 : of.getValueAtPercentile(percent) / 1000
}

/** @returns whether a bar is met. */
export function isMet(bar: Bar): boolean {
	const { figure, least, most } = bar
	return (least === undefined || figure >= least) && (most === undefined || figure <= most)
}

/** @returns a number with as many digits as say something. */
export function round(value: number, digits = 3): number {
	return value === 0 ? 0 : Number(value.toPrecision(digits))
}

/** Prints a measurement. */
export function print(measurement: Measurement, json: boolean): void {
	if (json) {
		process.stdout.write(`${JSON.stringify(measurement)}\n`)
		return
	}
	const { title, seed, rows, bars, notes } = measurement
	process.stdout.write(`\n${title} (seed ${seed})\n`)
	for (const { name, figures } of rows) {
		const text = Object.entries(figures).map(([figure, value]) => `${figure} ${value}`)
		process.stdout.write(`  ${name.padEnd(28)} ${text.join(', ')}\n`)
	}
	for (const bar of bars) {
		const bound = bar.least === undefined ? `at most ${bar.most}` : `at least ${bar.least}`
		const verdict = isMet(bar) ? 'met' : 'NOT MET'
		process.stdout.write(`  bar: ${bar.what}: ${round(bar.figure)}, ${bound}: ${verdict}\n`)
	}
	for (const note of notes) process.stdout.write(`  ${note}\n`)
}
