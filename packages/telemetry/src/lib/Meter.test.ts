/** The text format for scrapers. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Measure, Meter } from './Meter'

test('counters, gauges and histograms are exported as text with their labels', async () => {
	const meter = new Meter()
	meter.count(Measure.RunsEnded, { how: 'done' })
	meter.count(Measure.RunsEnded, { how: 'done' })
	meter.gauge(Measure.Voters, 3)
	meter.observe(Measure.CommitTime, 7)
	const text = await meter.text()
	assert.match(text, /rillrudder_runs_ended_total\{how="done"\} 2/)
	assert.match(text, /rillrudder_voters 3/)
	assert.match(text, /rillrudder_commit_time_ms_bucket\{le="10"\} 1/)
	assert.match(text, /rillrudder_commit_time_ms_sum 7/)
})
