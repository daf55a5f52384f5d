/**
 * A stand-in worker that keeps to `PROTOCOL.md`: orders, fencing, the hold on its own clock, lists of
 * runs and ends, heartbeats. All of its traffic can be cut, it can crash, and it can fail what it
 * runs.
 */
import { randomInt } from 'node:crypto'
import { createServer } from 'node:http'
import { BOUNDS } from './cell.mjs'
import { call } from './http.mjs'
import { sleep } from './record.mjs'

const HEARTBEAT_MS = 1500
const HEARTBEAT_TIMEOUT_MS = 1000
const HOLD_CHECK_MS = 10

export class Worker {
	/**
	 * @param parts.id, service, zone, labels, cpu, memMb - as in heartbeats.
	 * @param parts.control - addresses for heartbeats.
	 * @param parts.ip - the loopback address it listens on.
	 * @param parts.work - returns how long a run works in milliseconds and how it ends; an infinite
	 * time for a task that lasts.
	 * @param parts.onStart - called after a run has begun.
	 */
	constructor(parts, record) {
		this.parts = parts
		this.record = record
		this.fence = 0
		this.until = 0
		this.offset = 100_000 + randomInt(500_000)
		this.runs = new Map()
		this.highest = new Map()
		this.ends = []
		this.endCount = 0
		this.waiting = new Set()
		this.sequence = 0
		this.target = 0
		this.isCut = false
		this.isFailing = false
		this.isDraining = false
		/** Every run: task, attempt, from, to, how. */
		this.history = []
		this.heartbeatsTaken = 0
	}

	get clock() {
		return Math.floor(performance.now() + this.offset)
	}

	async start() {
		this.server = createServer((request, response) => this.serve(request, response))
		this.server.keepAliveTimeout = 60_000
		await new Promise((done) => this.server.listen(0, this.parts.ip, done))
		this.address = `${this.parts.ip}:${this.server.address().port}`
		this.timers = [
			setInterval(() => void this.heartbeat(), HEARTBEAT_MS),
			setInterval(() => this.checkHold(), HOLD_CHECK_MS),
		]
		await this.heartbeat()
	}

	/** Nothing reaches it or leaves it from now on; connections hang. It runs on. */
	cut() {
		this.record.add(`trouble: worker ${this.parts.id} is cut off`)
		this.isCut = true
	}

	/** Ends the cut. What the cut held up is lost: its senders have given up. */
	heal() {
		this.record.add(`trouble: worker ${this.parts.id} is no longer cut off`)
		this.server.closeAllConnections()
		this.isCut = false
		void this.heartbeat()
	}

	/** It dies and says nothing; its port resets connections. */
	crash() {
		this.record.add(`trouble: worker ${this.parts.id} crashes and does not come back`)
		this.close('crashed')
	}

	/**
	 * It leaves as planned: says that it is draining until that is acknowledged, serves on for
	 * `drainMs` and a little longer, deregisters and ends.
	 */
	async leave() {
		const { id, control } = this.parts
		this.record.add(`trouble: worker ${id} drains`)
		this.isDraining = true
		const before = this.heartbeatsTaken
		for (let turn = 0; this.heartbeatsTaken === before; turn++) {
			if (turn > 20) throw new Error('the draining was not acknowledged')
			await this.heartbeat()
		}
		await sleep(BOUNDS.drainMs + 500)
		const path = `/rillrudder/instances/${id}/deregister`
		for (let turn = 0; turn < 10; turn++) {
			const address = control[turn % control.length]
			const { status } = await call({ address, method: 'POST', path, timeout: 1000 })
			this.record.add(`worker ${id}: deregisters -> ${status}`)
			if (status === 200) break
		}
		this.record.add(`trouble: worker ${id} has left`)
		this.close('left')
	}

	/** From now on it fails all that it starts, until `recover`. */
	fail() {
		this.record.add(`trouble: worker ${this.parts.id} fails all that it starts`)
		this.isFailing = true
	}

	recover() {
		this.record.add(`trouble: worker ${this.parts.id} is sound again`)
		this.isFailing = false
	}

	/** Ends the stand-in. */
	close(how = 'closed') {
		for (const timer of this.timers ?? []) clearInterval(timer)
		for (const run of this.runs.values()) {
			clearTimeout(run.timer)
			this.note(run, how)
		}
		this.runs.clear()
		this.server?.close()
		this.server?.closeAllConnections()
	}

	async heartbeat() {
		if (this.isCut) return
		const { id, service, zone, labels, cpu, memMb, control } = this.parts
		const { status } = await call({
			address: control[this.target % control.length],
			method: 'POST',
			path: `/rillrudder/instances/${id}/heartbeat`,
			timeout: HEARTBEAT_TIMEOUT_MS,
			body: {
				service,
				address: this.address,
				zone,
				version: 'v1',
				slots: 8,
				state: this.isDraining ? 'draining' : 'ready',
				...(this.isDraining && { remainingMs: BOUNDS.drainMs }),
				coldRemainingMs: 0,
				capacity: { cpu, memMb, gpu: 0 },
				labels,
				clockMs: this.clock,
				seq: ++this.sequence,
			},
		})
		if (status === 200) this.heartbeatsTaken += 1
		else this.target += 1
		this.record.add(`worker ${id}: heartbeat ${this.sequence} -> ${status}`)
	}

	serve(request, response) {
		const pieces = []
		request.on('data', (piece) => pieces.push(piece))
		request.on('end', async () => {
			// Behind a cut nothing arrives and nothing is answered.
			if (this.isCut) return
			const expected = request.headers['expected-instance']
			if (expected !== undefined && expected !== this.parts.id)
				return this.answer(response, 421, {})
			let body
			try {
				body = JSON.parse(Buffer.concat(pieces).toString())
			} catch {
				return this.answer(response, 400, {})
			}
			const [status, value] = await this.handle(request.url, body)
			if (status !== 200)
				this.record.add(
					`worker ${this.parts.id}: ${request.url} -> ${status} ${JSON.stringify(value)}`
				)
			if (!this.isCut) this.answer(response, status, value)
		})
	}

	answer(response, status, value) {
		response.writeHead(status, { 'content-type': 'application/json' })
		response.end(JSON.stringify({ clockMs: this.clock, ...value }))
	}

	async handle(path, body) {
		const { fencingToken = 0, untilMs } = body
		if (fencingToken < this.fence) return [409, { reason: 'fence' }]
		this.fence = fencingToken
		if (untilMs) this.until = Math.max(this.until, Math.min(untilMs, this.clock + BOUNDS.holdMaxMs))
		if (path === '/rillrudder/run-start') return this.startRun(body)
		if (path === '/rillrudder/run-stop') return this.stopRun(body)
		if (path === '/rillrudder/hold') return this.hold(body)
		if (path === '/rillrudder/pace') return [200, {}]
		return [404, {}]
	}

	startRun({ task, attempt, untilMs, checkpoint = '' }) {
		if (this.runs.get(task)?.attempt === attempt) return [200, {}]
		if (attempt <= (this.highest.get(task) ?? 0)) return [409, { reason: 'old' }]
		if (!(untilMs > this.clock)) return [409, { reason: 'late' }]
		const { ms, how } = this.parts.work(task, attempt)
		const run = { task, attempt, saved: checkpoint, ms, from: this.record.now }
		const span = this.isFailing ? 150 : ms
		if (Number.isFinite(span)) {
			const end = this.isFailing ? 'failed' : how
			run.timer = setTimeout(() => this.end(run, end), span)
		}
		this.runs.set(task, run)
		this.record.add(`worker ${this.parts.id}: starts ${task} attempt ${attempt}`)
		this.parts.onStart?.(this, run)
		return [200, {}]
	}

	stopRun({ task, attempt }) {
		this.highest.set(task, Math.max(attempt, this.highest.get(task) ?? 0))
		const run = this.runs.get(task)
		if (run?.attempt <= attempt) setTimeout(() => this.end(run, 'stopped'), BOUNDS.stop_ms / 2)
		return [200, {}]
	}

	async hold({ lastSeen = 0, waitMs = 0 }) {
		this.ends = this.ends.filter(({ number }) => number > lastSeen)
		if (this.ends.length === 0 && waitMs > 0) await this.nextEnd(waitMs)
		const runningCount = [...this.runs.values()].map((run) => [
			run.task,
			run.attempt,
			run.saved,
			this.percentOf(run),
			0,
		])
		const ended = this.ends
			.slice(0, 500)
			.map(({ number, task, attempt, how }) => [number, task, attempt, how, ''])
		return [200, { runningCount, ended }]
	}

	percentOf(run) {
		const age = this.record.now - run.from
		if (!Number.isFinite(run.ms)) return age > 400 ? 100 : 0
		return Math.min(100, Math.floor((age / run.ms) * 100))
	}

	nextEnd(span) {
		return new Promise((done) => {
			const wake = () => {
				clearTimeout(timer)
				this.waiting.delete(wake)
				done()
			}
			const timer = setTimeout(wake, span)
			this.waiting.add(wake)
		})
	}

	end(run, how) {
		if (this.runs.get(run.task) !== run) return
		clearTimeout(run.timer)
		this.runs.delete(run.task)
		this.highest.set(run.task, Math.max(run.attempt, this.highest.get(run.task) ?? 0))
		this.ends.push({ number: ++this.endCount, task: run.task, attempt: run.attempt, how })
		this.note(run, how)
		for (const wake of [...this.waiting]) wake()
	}

	note(run, how) {
		const { task, attempt, from } = run
		this.history.push({ task, attempt, from, to: this.record.now, how })
		this.record.add(`worker ${this.parts.id}: run of ${task} attempt ${attempt} ends ${how}`)
	}

	checkHold() {
		if (this.clock <= this.until) return
		for (const run of [...this.runs.values()]) this.end(run, 'lapsed')
	}
}
