/** Recovery of a group's files after a restart, torn writes, damage, and disk failures. */
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

async function emptyFiles(context: TestContext): Promise<GroupFiles> {
	const folder = await mkdtemp(join(tmpdir(), 'rillrudder-store-'))
	context.after(() => rm(folder, { recursive: true }))
	return { disk: new SystemDisk(), folder, group: 'vake', freshIncarnation: 'first' }
}

async function writtenFiles(context: TestContext): Promise<GroupFiles> {
	const files = await emptyFiles(context)
	const { store } = await GroupStore.open(files)
	await store.save({
		hardState: { term: 1, votedFor: 'a', commit: 2 },
		entries: [entry(1), entry(2)],
	})
	await store.save({ entries: [entry(3)] })
	await store.close()
	return { ...files, freshIncarnation: 'second' }
}

test('saved state is restored after a restart, under the same incarnation', async (context) => {
	const files = await writtenFiles(context)
	const opened = await GroupStore.open(files)
	assert.equal(opened.incarnation, 'first')
	assert.equal(opened.ending, FileCondition.Clean)
	assert.deepEqual(opened.restored?.hardState, { term: 1, votedFor: 'a', commit: 2 })
	assert.deepEqual(
		opened.restored?.entries.map((one) => one.index),
		[1, 2, 3]
	)
	await opened.store.close()
})

test('a commit index is restored only together with the entries it covers', async (context) => {
	const files = await writtenFiles(context)
	const path = join(files.folder, 'log')
	const whole = await readFile(path)
	// Wherever the log is truncated, its commit index never exceeds its last entry.
	for (let length = whole.length - 1; length > whole.length - 60; length--) {
		await writeFile(path, whole.subarray(0, length))
		const opened = await GroupStore.open(files)
		const { hardState, entries } = opened.restored ?? { hardState: undefined, entries: [] }
		assert.ok((hardState?.commit ?? 0) <= entries.length)
		await opened.store.close()
	}
})

test('an entry replaces the entries at its index and above', async (context) => {
	const files = await writtenFiles(context)
	const first = await GroupStore.open(files)
	await first.store.save({ entries: [entry(2, 2)] })
	await first.store.close()
	const second = await GroupStore.open(files)
	assert.deepEqual(
		second.restored?.entries.map((one) => [one.index, one.term]),
		[
			[1, 1],
			[2, 2],
		]
	)
	await second.store.close()
})

test('a torn tail is truncated and the rest is kept', async (context) => {
	const files = await writtenFiles(context)
	const path = join(files.folder, 'log')
	const { length } = await readFile(path)
	await truncate(path, length - 5)
	const opened = await GroupStore.open(files)
	assert.equal(opened.ending, FileCondition.Torn)
	assert.equal(opened.incarnation, 'first')
	assert.equal(opened.restored?.entries.length, 2)
	await opened.store.save({ entries: [entry(3)] })
	await opened.store.close()
	const again = await GroupStore.open(files)
	assert.equal(again.restored?.entries.length, 3)
	await again.store.close()
})

test('a damaged record in the middle makes the replica start under a new incarnation', async (context) => {
	const files = await writtenFiles(context)
	const path = join(files.folder, 'log')
	const bytes = await readFile(path)
	bytes[Math.floor(bytes.length / 2)] ^= 0xff
	await writeFile(path, bytes)
	const opened = await GroupStore.open(files)
	assert.equal(opened.ending, FileCondition.Damaged)
	assert.equal(opened.incarnation, 'second')
	assert.equal(opened.restored, undefined)
	await opened.store.close()
})

test('a damaged last record is not treated as torn', async (context) => {
	const files = await writtenFiles(context)
	const path = join(files.folder, 'log')
	const bytes = await readFile(path)
	bytes[bytes.length - 1] ^= 0xff
	await writeFile(path, bytes)
	const opened = await GroupStore.open(files)
	assert.equal(opened.ending, FileCondition.Damaged)
	await opened.store.close()
})

test('a snapshot without its log counts as damage', async (context) => {
	const files = await writtenFiles(context)
	const first = await GroupStore.open(files)
	const snapshot = { index: 2, term: 1, membership: { members: [] }, data: Buffer.from('two') }
	await first.store.save({ snapshot, entries: [entry(3)] })
	await first.store.close()
	await rm(join(files.folder, 'log'))
	const opened = await GroupStore.open(files)
	assert.equal(opened.ending, FileCondition.Damaged)
	await opened.store.close()
})

test('a snapshot replaces the entries it covers', async (context) => {
	const files = await writtenFiles(context)
	const first = await GroupStore.open(files)
	const snapshot = { index: 2, term: 1, membership: { members: [] }, data: Buffer.from('two') }
	await first.store.save({ snapshot, entries: [entry(3)] })
	await first.store.save({ entries: [entry(4)] })
	await first.store.close()
	const second = await GroupStore.open(files)
	assert.equal(second.restored?.snapshot?.index, 2)
	assert.equal(Buffer.from(second.restored?.snapshot?.data ?? []).toString(), 'two')
	assert.deepEqual(
		second.restored?.entries.map((one) => one.index),
		[3, 4]
	)
	await second.store.close()
})

/** A file whose first sync fails and whose later syncs succeed. */
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

test('after a failed sync no more batches are accepted, even if a second sync would succeed', async (context) => {
	const files = await writtenFiles(context)
	const { store } = await GroupStore.open({ ...files, disk: new FailingDisk() })
	const failed = { name: 'StoreFailed' }
	await assert.rejects(store.save({ entries: [entry(4)] }), failed)
	await assert.rejects(store.save({ entries: [entry(5)] }), failed)
	await store.close()
})

/** A file on a full disk. */
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

test('a full disk fails the store, and earlier batches are restored once space is available', async (context) => {
	const files = await writtenFiles(context)
	const full = await GroupStore.open({ ...files, disk: new FullDisk() })
	await assert.rejects(full.store.save({ entries: [entry(4)] }), { name: 'StoreFailed' })
	await full.store.close()
	const opened = await GroupStore.open(files)
	assert.equal(opened.restored?.entries.length, 3)
	await opened.store.close()
})

test('two processes cannot lock one folder, and the lock of a dead process is stale', async (context) => {
	const { folder } = await emptyFiles(context)
	const first = FolderLock.acquire(folder)
	assert.ok(first.ok)
	assert.equal(FolderLock.acquire(folder).ok, false)
	first.value.release()
	await writeFile(join(folder, 'lock'), JSON.stringify({ pid: process.pid, started: 'earlier' }))
	const second = FolderLock.acquire(folder)
	assert.ok(second.ok)
	second.value.release()
})
