/** Instances of a cell with one group: links, leadership, forwarding. */
export { Adviser } from './lib/Adviser'
export { CoreInstance, type CoreParts } from './lib/CoreInstance'
export { EntryInstance, type EntryParts } from './lib/EntryInstance'
export type { Finality } from './lib/LeaderCalls'
export { MemberEvent } from './lib/MemberEvent'
export { ProductServer, type ProductServerParts } from './lib/ProductServer'
