/** `rr-entry`: callers and endpoints. */
export { EntryProcess, type EntryOverrides } from './lib/EntryProcess'
export {
	checkEntrySettings,
	type EntrySettings,
	type WrittenEntrySettings,
} from './lib/EntrySettings'
