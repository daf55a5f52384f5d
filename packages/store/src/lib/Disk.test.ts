/** Stored files are accessible only to the owner of the process. */
import assert from 'node:assert/strict'
import { mkdtempSync, rmSync, statSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'node:test'
import { SystemDisk } from './Disk'

const PERMISSIONS = 0o777

test('files and folders are readable by their owner only', async () => {
	const root = mkdtempSync(join(tmpdir(), 'disk-'))
	try {
		const disk = new SystemDisk()
		const folder = join(root, 'data', 'cell')
		await disk.makeFolder(folder)
		const file = await disk.openAt(join(folder, 'log'), 0)
		await file.append(Buffer.from('text'))
		await file.close()
		assert.equal(statSync(join(folder, 'log')).mode & PERMISSIONS, 0o600)
		assert.equal(statSync(folder).mode & PERMISSIONS, 0o700)
	} finally {
		rmSync(root, { recursive: true })
	}
})
