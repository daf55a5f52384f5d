/**
 * Instances of a cell with one consensus group: links between them, leadership and forwarding of
 * calls.
 */
export { Adviser } from './lib/Adviser'
export { CarriedOrders, type CarriedOrdersParts } from './lib/carriers/CarriedOrders'
export type { Carrier } from './lib/carriers/CarrierSelector'
export { OrderCarrier } from './lib/carriers/OrderCarrier'
export { CoreInstance, type CoreParts } from './lib/CoreInstance'
export { UNKNOWN_CAPACITY, type InstanceCapacity } from './lib/load/InstanceCapacity'
export { LoopDelay } from './lib/load/LoopDelay'
export { EntryInstance, type EntryParts } from './lib/EntryInstance'
export type { RetryLimits } from './lib/LeaderCalls'
export { MemberEvent } from './lib/MemberEvent'
export { ApiServer, type ApiServerParts } from './lib/ApiServer'
