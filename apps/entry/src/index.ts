/** `rr-entry`: the process that accepts callers' requests and forwards them to workers. */
export { EntryProcess, type EntryOverrides } from './lib/EntryProcess'
export {
	checkEntrySettings,
	type EntrySettings,
	type WrittenEntrySettings,
} from './lib/EntrySettings'
