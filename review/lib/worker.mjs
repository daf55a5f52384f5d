/**
 * A stand-in for a worker that follows the users' page "Running tasks" and "Service discovery": runs
 * with attempts, a lease on its own steady clock, fencing tokens, a list of ends, heartbeats.
 */
import { createServer } from 'node:http'
import { performance } from 'node:perf_hooks'
import { call } from './http.mjs'
import { pause } from './record.mjs'

const HEARTBEAT_MS = 1500
const LEASE_CHECK_MS = 5
const HOLD_MAX_MS = 10_000
const STOP_MS = 100
const START_CLOCK_MS = 480_000

/** One life of a worker. */
export class Worker {
	/**
	 * @param options.id - its id, new at every start.
	 * @param options.control - addresses of the core, in the order in which they are tried.
	 * @param options.work - milliseconds that a run of a task takes; undefined for tasks that last.
	 * @param options.clockRate - speed of its steady clock; the page allows 2% less than 1.
	 * @param options.onRun - called with `started` or the kind of end of each run.
	 */
	constructor({
		id,
		service,
		zone,
		rack,
		control,
		record,
		work,
		clockRate = 1,
		onRun,
		cpu = 4000,
	}) {
		Object.assign(this, { id, service, zone, rack, control, record, work, clockRate, onRun, cpu })
		this.startedAt = performance.now()
		this.runs = new Map()
		/** Highest attempt of each task that was started, stopped or ended here. */
		this.attempts = new Map()
		this.ends = []
		this.lastEnd = 0
		this.lastSeen = 0
		this.fence = 0
		this.until = 0
		this.seq = 0
		this.waiting = new Set()
		/** While it is cut off, it neither gets calls nor sends any. */
		this.isCut = false
		this.isUp = true
		this.next = 0
	}

	/** Milliseconds on its steady clock. */
	get clock() {
		const elapsed = performance.now() - this.startedAt
		return Math.floor(START_CLOCK_MS + elapsed * this.clockRate)
	}

	/** Starts the server and the heartbeats. */
	async start(host = '127.0.0.1') {
		this.server = createServer((request, response) => this.serve(request, response))
		await new Promise((done) => this.server.listen(0, host, done))
		this.address = `${host}:${this.server.address().port}`
		this.timer = setInterval(() => this.checkLease(), LEASE_CHECK_MS)
		void this.beat()
	}

	/** Crashes: it says nothing more, and all that runs on it is gone. */
	crash() {
		this.record.add(`worker ${this.id} crashes`)
		this.stop()
		for (const run of this.runs.values()) this.onRun?.('crashed', run)
		this.runs.clear()
	}

	/** Stops everything. */
	stop() {
		this.isUp = false
		clearInterval(this.timer)
		for (const { timer } of this.runs.values()) clearTimeout(timer)
		this.server.close()
		this.server.closeAllConnections()
	}

	async beat() {
		while (this.isUp) {
			await this.beatOnce()
			await pause(HEARTBEAT_MS)
		}
	}

	async beatOnce() {
		for (let tries = 0; tries < this.control.length && this.isUp && !this.isCut; tries++) {
			const address = this.control[this.next]
			const path = `/rillrudder/instances/${this.id}/heartbeat`
			const { status } = await call({ address, method: 'POST', path, body: this.describe() })
			if (status >= 200 && status < 300) return
			this.next = (this.next + 1) % this.control.length
		}
	}

	describe() {
		return {
			service: this.service,
			address: this.address,
			zone: this.zone,
			version: 'v1',
			slots: 8,
			state: 'ready',
			coldRemainingMs: 0,
			capacity: { cpu: this.cpu, memMb: 8192, gpu: 0 },
			labels: ['a', this.rack],
			clockMs: this.clock,
			seq: ++this.seq,
		}
	}

	serve(request, response) {
		const pieces = []
		request.on('data', (piece) => pieces.push(piece))
		request.on('end', () => {
			// Calls that reach a worker behind a cut are never answered.
			if (this.isCut || !this.isUp) return
			if (request.method === 'GET') return this.answer(response, 200)
			const expected = request.headers['expected-instance']
			if (expected !== undefined && expected !== this.id) return this.answer(response, 421)
			this.take(request.url, JSON.parse(Buffer.concat(pieces).toString() || '{}'), response)
		})
	}

	answer(response, status, body = {}) {
		if (this.isCut || !this.isUp || response.destroyed) return
		const text = JSON.stringify({ clockMs: this.clock, ...body })
		response.writeHead(status, {
			'content-type': 'application/json',
			'content-length': Buffer.byteLength(text),
		})
		response.end(text)
	}

	take(path, body, response) {
		const { fencingToken = 0 } = body
		if (fencingToken < this.fence) return this.answer(response, 409, { reason: 'fence' })
		this.fence = fencingToken
		switch (path) {
			case '/rillrudder/run-start':
				return this.onStart(body, response)
			case '/rillrudder/run-stop':
				return this.onStop(body, response)
			case '/rillrudder/hold':
				return this.onHold(body, response)
			case '/rillrudder/pace':
				return this.answer(response, 200)
			default:
				return this.answer(response, 404)
		}
	}

	extend(until) {
		if (until === undefined) return
		this.until = Math.max(this.until, Math.min(until, this.clock + HOLD_MAX_MS))
	}

	onStart({ task, attempt, untilMs }, response) {
		this.extend(untilMs)
		const known = this.runs.get(task)
		if (known?.attempt === attempt) return this.answer(response, 200)
		if (attempt <= (this.attempts.get(task) ?? 0))
			return this.answer(response, 409, { reason: 'old' })
		if (untilMs !== undefined && untilMs <= this.clock)
			return this.answer(response, 409, { reason: 'late' })
		this.attempts.set(task, attempt)
		const run = { task, attempt, worker: this.id, startedAt: this.record.now }
		this.record.add(
			`worker ${this.id} starts ${task} attempt ${attempt}, held ${this.until - this.clock} ms on its clock`
		)
		const span = this.work(task, attempt)
		run.timer = span === undefined ? undefined : setTimeout(() => this.end(run, 'done'), span)
		this.runs.set(task, run)
		this.onRun?.('started', run)
		this.answer(response, 200)
	}

	onStop({ task, attempt }, response) {
		this.attempts.set(task, Math.max(attempt, this.attempts.get(task) ?? 0))
		const run = this.runs.get(task)
		if (run && run.attempt <= attempt && !run.isStopping) {
			run.isStopping = true
			setTimeout(() => this.end(run, 'stopped'), STOP_MS)
		}
		this.answer(response, 200)
	}

	onHold({ lastSeen = 0, untilMs, waitMs = 0 }, response) {
		this.extend(untilMs)
		this.lastSeen = Math.max(this.lastSeen, lastSeen)
		this.ends = this.ends.filter(([number]) => number > this.lastSeen)
		const list = () => {
			clearTimeout(timer)
			this.waiting.delete(list)
			this.answer(response, 200, this.lists())
		}
		const timer = setTimeout(list, this.ends.length > 0 ? 0 : waitMs)
		this.waiting.add(list)
	}

	lists() {
		const runningCount = [...this.runs.values()].map(({ task, attempt, startedAt }) => {
			const percent = Math.min(99, Math.floor((this.record.now - startedAt) / 100))
			return [task, attempt, '', this.work(task, attempt) === undefined ? 100 : percent, 1000]
		})
		return { runningCount, ended: this.ends.slice(0, 500) }
	}

	/** Ends a run as the task itself or its worker does. */
	end(run, how) {
		if (this.runs.get(run.task) !== run) return
		clearTimeout(run.timer)
		this.runs.delete(run.task)
		this.record.add(`worker ${this.id}: ${run.task} attempt ${run.attempt} ends ${how}`)
		this.ends.push([++this.lastEnd, run.task, run.attempt, how, ''])
		this.onRun?.(how, run)
		for (const list of [...this.waiting]) list()
	}

	checkLease() {
		if (this.runs.size === 0 || this.clock < this.until) return
		for (const run of [...this.runs.values()]) this.end(run, 'lapsed')
	}
}
