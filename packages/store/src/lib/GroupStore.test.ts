/** What the data folder gives back after each kind of damage. */
import assert from 'node:assert/strict'
import { mkdtemp, readFile, rm, truncate, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test, type TestContext } from 'node:test'
import { EntryKind, type Entry } from '@rillrudder/protocol'
import { AppendFile, SystemDisk } from './Disk'
import { FolderLock } from './FolderLock'
import { GroupStore, type GroupFiles } from './GroupStore'
import { FileCondition } from './recordCodec'

const entry = (index: number, term = 1): Entry => ({
	index,
	term,
	kind: EntryKind.ENTRY_KIND_COMMAND,
	data: Buffer.from(`command ${index} of term ${term}`),
})

async function files(context: TestContext): Promise<GroupFiles> {
	const folder = await mkdtemp(join(tmpdir(), 'rillrudder-store-'))
	context.after(() => rm(folder, { recursive: true }))
	return { disk: new SystemDisk(), folder, group: 'vake', freshIncarnation: 'first' }
}

async function written(context: TestContext): Promise<GroupFiles> {
	const where = await files(context)
	const { store } = await GroupStore.open(where)
	await store.save({
		hardState: { term: 1, votedFor: 'a', commit: 2 },
		entries: [entry(1), entry(2)],
	})
	await store.save({ entries: [entry(3)] })
	await store.close()
	return { ...where, freshIncarnation: 'second' }
}

test('what was saved is there after a restart, under the same incarnation', async (context) => {
	const where = await written(context)
	const opened = await GroupStore.open(where)
	assert.equal(opened.incarnation, 'first')
	assert.equal(opened.ending, FileCondition.Clean)
	assert.deepEqual(opened.restored?.hardState, { term: 1, votedFor: 'a', commit: 2 })
	assert.deepEqual(
		opened.restored?.entries.map((one) => one.index),
		[1, 2, 3]
	)
	await opened.store.close()
})

test('a commit index is found only with the entries that it speaks of', async (context) => {
	const where = await written(context)
	const path = join(where.folder, 'log')
	const whole = await readFile(path)
	// Cut anywhere, the log never holds a commit index above its last entry.
	for (let length = whole.length - 1; length > whole.length - 60; length--) {
		await writeFile(path, whole.subarray(0, length))
		const opened = await GroupStore.open(where)
		const { hardState, entries } = opened.restored ?? { hardState: undefined, entries: [] }
		assert.ok((hardState?.commit ?? 0) <= entries.length)
		await opened.store.close()
	}
})

test('an entry replaces what stood at its index and after', async (context) => {
	const where = await written(context)
	const first = await GroupStore.open(where)
	await first.store.save({ entries: [entry(2, 2)] })
	await first.store.close()
	const second = await GroupStore.open(where)
	assert.deepEqual(
		second.restored?.entries.map((one) => [one.index, one.term]),
		[
			[1, 1],
			[2, 2],
		]
	)
	await second.store.close()
})

test('a torn tail is cut off and the rest kept', async (context) => {
	const where = await written(context)
	const path = join(where.folder, 'log')
	const { length } = await readFile(path)
	await truncate(path, length - 5)
	const opened = await GroupStore.open(where)
	assert.equal(opened.ending, FileCondition.Torn)
	assert.equal(opened.incarnation, 'first')
	assert.equal(opened.restored?.entries.length, 2)
	await opened.store.save({ entries: [entry(3)] })
	await opened.store.close()
	const again = await GroupStore.open(where)
	assert.equal(again.restored?.entries.length, 3)
	await again.store.close()
})

test('a damaged record in the middle ends trust: the replica starts as another life', async (context) => {
	const where = await written(context)
	const path = join(where.folder, 'log')
	const bytes = await readFile(path)
	bytes[Math.floor(bytes.length / 2)] ^= 0xff
	await writeFile(path, bytes)
	const opened = await GroupStore.open(where)
	assert.equal(opened.ending, FileCondition.Damaged)
	assert.equal(opened.incarnation, 'second')
	assert.equal(opened.restored, undefined)
	await opened.store.close()
})

test('a damaged last record is not taken for a torn one', async (context) => {
	const where = await written(context)
	const path = join(where.folder, 'log')
	const bytes = await readFile(path)
	bytes[bytes.length - 1] ^= 0xff
	await writeFile(path, bytes)
	const opened = await GroupStore.open(where)
	assert.equal(opened.ending, FileCondition.Damaged)
	await opened.store.close()
})

test('a lost log beside a snapshot ends trust', async (context) => {
	const where = await written(context)
	const first = await GroupStore.open(where)
	const snapshot = { index: 2, term: 1, membership: { members: [] }, data: Buffer.from('two') }
	await first.store.save({ snapshot, entries: [entry(3)] })
	await first.store.close()
	await rm(join(where.folder, 'log'))
	const opened = await GroupStore.open(where)
	assert.equal(opened.ending, FileCondition.Damaged)
	await opened.store.close()
})

test('a snapshot replaces the entries it covers', async (context) => {
	const where = await written(context)
	const first = await GroupStore.open(where)
	const snapshot = { index: 2, term: 1, membership: { members: [] }, data: Buffer.from('two') }
	await first.store.save({ snapshot, entries: [entry(3)] })
	await first.store.save({ entries: [entry(4)] })
	await first.store.close()
	const second = await GroupStore.open(where)
	assert.equal(second.restored?.snapshot?.index, 2)
	assert.equal(Buffer.from(second.restored?.snapshot?.data ?? []).toString(), 'two')
	assert.deepEqual(
		second.restored?.entries.map((one) => one.index),
		[3, 4]
	)
	await second.store.close()
})

/** A file whose sync fails once and then seems to work. */
class FailingFile extends AppendFile {
	failures = 1

	constructor(private readonly inner: AppendFile) {
		super()
	}

	override append(bytes: Uint8Array): Promise<void> {
		return this.inner.append(bytes)
	}

	override sync(): Promise<void> {
		if (this.failures-- > 0) return Promise.reject(new Error('EIO'))
		return this.inner.sync()
	}

	override close(): Promise<void> {
		return this.inner.close()
	}
}

class FailingDisk extends SystemDisk {
	override async openAt(path: string, length: number): Promise<AppendFile> {
		const file = await super.openAt(path, length)
		return path.endsWith('.new') ? file : new FailingFile(file)
	}
}

test('after a failed sync nothing more is taken, even when a second sync would work', async (context) => {
	const where = await written(context)
	const { store } = await GroupStore.open({ ...where, disk: new FailingDisk() })
	const failed = { name: 'StoreFailed' }
	await assert.rejects(store.save({ entries: [entry(4)] }), failed)
	await assert.rejects(store.save({ entries: [entry(5)] }), failed)
	await store.close()
})

/** A file on a disk that is full. */
class FullFile extends AppendFile {
	constructor(private readonly inner: AppendFile) {
		super()
	}

	override append(): Promise<void> {
		return Promise.reject(new Error('ENOSPC'))
	}

	override sync(): Promise<void> {
		return this.inner.sync()
	}

	override close(): Promise<void> {
		return this.inner.close()
	}
}

class FullDisk extends SystemDisk {
	override async openAt(path: string, length: number): Promise<AppendFile> {
		return new FullFile(await super.openAt(path, length))
	}
}

test('a full disk ends the store, and what was saved before is there when there is room', async (context) => {
	const where = await written(context)
	const full = await GroupStore.open({ ...where, disk: new FullDisk() })
	await assert.rejects(full.store.save({ entries: [entry(4)] }), { name: 'StoreFailed' })
	await full.store.close()
	const opened = await GroupStore.open(where)
	assert.equal(opened.restored?.entries.length, 3)
	await opened.store.close()
})

test('two processes cannot hold one folder, and a dead holder does not keep it', async (context) => {
	const { folder } = await files(context)
	const first = FolderLock.acquire(folder)
	assert.ok(first.ok)
	assert.equal(FolderLock.acquire(folder).ok, false)
	first.value.release()
	await writeFile(join(folder, 'lock'), JSON.stringify({ pid: process.pid, started: 'earlier' }))
	const second = FolderLock.acquire(folder)
	assert.ok(second.ok)
	second.value.release()
})
