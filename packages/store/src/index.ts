/** The data folder: durable records, snapshots and the folder lock. */
export { AppendFile, Disk, SystemDisk } from './lib/Disk'
export { FolderLock, type FolderInUse } from './lib/FolderLock'
export {
	FORMAT_VERSION,
	GroupStore,
	type Batch,
	type GroupFiles,
	type OpenedStore,
} from './lib/GroupStore'
export {
	decodeRecords,
	encodeRecord,
	FileCondition,
	MAX_RECORD_BYTES,
	RECORD_HEADER_BYTES,
	type ReadRecords,
} from './lib/recordCodec'
export { RevisionFile } from './lib/RevisionFile'
