/** What the replicated log costs: commits against batch size on a real disk, catch-up, memory. */
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { Replica } from '@rillrudder/consensus'
import { Group, StateMachine } from '@rillrudder/group'
import type { GroupMessage } from '@rillrudder/protocol'
import { GroupStore, SystemDisk } from '@rillrudder/store'
import { Random, SystemClock } from '@rillrudder/utils'
import { histogram, percentile, record, round, type Measurement, type Row } from './figures'

const FOUNDERS = [
	{ id: 'a', durable: true, local: true },
	{ id: 'b', durable: false, local: true },
	{ id: 'c', durable: true, local: false },
]
const BATCHES = [1, 8, 64, 512]
const COMMAND_BYTES = 300
const SPAN = 2000
const CAUGHT_UP_ENTRIES = 50_000
const NEVER_COMPACT = 10_000_000

class Counter extends StateMachine {
	applied = 0
	onApply: () => void = () => undefined

	override apply(): void {
		this.applied += 1
		this.onApply()
	}

	override snapshot(): Uint8Array {
		return new Uint8Array(0)
	}

	override restore(): void {
		// Nothing is kept.
	}
}

interface Member {
	readonly group: Group
	readonly machine: Counter
}

/** A group of three replicas in this process, two of them on a real disk. */
class LocalGroup {
	readonly members = new Map<string, Member>()
	readonly bytes = new Map<string, number>()
	readonly cut = new Set<string>()
	private readonly folder = mkdtempSync(join(tmpdir(), 'rillrudder-bench-'))
	private readonly clock = new SystemClock()

	constructor(private readonly seed: number) {}

	async start(): Promise<void> {
		for (const founder of FOUNDERS) await this.add(founder)
		while (!this.leader) await this.pause(10)
		while (!this.leader?.group.mayAct) await this.pause(10)
	}

	get leader(): Member | undefined {
		return [...this.members.values()].find((member) => member.group.replica.isLeader)
	}

	pause(span: number): Promise<void> {
		return new Promise((resolve) => this.clock.after(span, () => resolve()))
	}

	async stop(): Promise<void> {
		await Promise.all([...this.members.values()].map((member) => member.group.stop()))
		rmSync(this.folder, { recursive: true })
	}

	private async add(founder: (typeof FOUNDERS)[number]): Promise<void> {
		const { id, durable } = founder
		const freshIncarnation = `life-${id}`
		const folder = join(this.folder, id)
		const files = { disk: new SystemDisk(), folder, group: 'bench', freshIncarnation }
		const opened = durable ? await GroupStore.open(files) : undefined
		const options = {
			group: 'bench',
			id,
			incarnation: freshIncarnation,
			founders: FOUNDERS,
			random: new Random(this.seed),
		}
		const machine = new Counter()
		const group = new Group({
			name: id,
			replica: new Replica(options, this.clock.now()),
			store: opened?.store,
			machine,
			clock: this.clock,
			send: (to, message) => this.send(id, to, message),
			fail: (fault) => {
				throw fault
			},
			compactEvery: NEVER_COMPACT,
		})
		this.clock.every(20, () => group.tick())
		this.members.set(id, { group, machine })
	}

	private send(from: string, to: string, message: GroupMessage): void {
		if (this.cut.has(from) || this.cut.has(to)) return
		setImmediate(() => this.members.get(to)?.group.receive(message))
	}
}

/** @returns the measurement. */
export async function groupBench(seed: number): Promise<Measurement> {
	const local = new LocalGroup(seed)
	await local.start()
	const rows: Row[] = []
	for (const batch of BATCHES) rows.push(await measureCommits(local, batch))
	rows.push(await measureCatchUp(local))
	await local.stop()
	return {
		title: 'Replicated log: three replicas in one process, two of them on this disk',
		seed,
		rows,
		bars: [],
		notes: [
			`commands of ${COMMAND_BYTES} bytes; the next batch is proposed when the last is applied`,
		],
	}
}

async function measureCommits(local: LocalGroup, batch: number): Promise<Row> {
	const leader = local.leader as Member
	const times = histogram()
	const command = Buffer.alloc(COMMAND_BYTES, 7)
	const commands = Array.from({ length: batch }, () => command)
	const cpu = process.cpuUsage()
	const begun = performance.now()
	let commits = 0
	await new Promise<void>((resolve) => {
		let left = 0
		let proposed = 0
		const propose = (): void => {
			if (performance.now() - begun > SPAN) {
				resolve()
				return
			}
			left = batch
			proposed = performance.now()
			leader.group.propose(commands)
		}
		leader.machine.onApply = () => {
			commits += 1
			left -= 1
			if (left > 0) return
			record(times, performance.now() - proposed)
			setImmediate(propose)
		}
		propose()
	})
	leader.machine.onApply = () => undefined
	const span = (performance.now() - begun) / 1000
	const used = process.cpuUsage(cpu)
	return {
		name: `batches of ${batch}`,
		figures: {
			'commits/s': Math.round(commits / span),
			'p50 ms': round(percentile(times, 50)),
			'p99 ms': round(percentile(times, 99)),
			'us of processor a commit': round((used.user + used.system) / commits),
		},
	}
}

/** One replica is cut off while entries are committed, and then catches up. */
async function measureCatchUp(local: LocalGroup): Promise<Row> {
	const leader = local.leader as Member
	const behind = [...local.members].find(([, member]) => member !== leader) as [string, Member]
	local.cut.add(behind[0])
	const heap = process.memoryUsage()
	const command = Buffer.alloc(COMMAND_BYTES, 7)
	const commands = Array.from({ length: 500 }, () => command)
	const target = leader.machine.applied + CAUGHT_UP_ENTRIES
	while (leader.machine.applied < target) {
		leader.group.propose(commands)
		await local.pause(2)
	}
	const grown = process.memoryUsage()
	local.cut.clear()
	const begun = performance.now()
	while (behind[1].machine.applied < target) await local.pause(1)
	const span = performance.now() - begun
	const bytes = grown.heapUsed + grown.arrayBuffers - heap.heapUsed - heap.arrayBuffers
	return {
		name: `catch-up of ${CAUGHT_UP_ENTRIES}`,
		figures: {
			'ms a thousand entries': round(span / (CAUGHT_UP_ENTRIES / 1000)),
			'KB a thousand entries, both replicas': Math.round(bytes / 1024 / (CAUGHT_UP_ENTRIES / 1000)),
		},
	}
}
