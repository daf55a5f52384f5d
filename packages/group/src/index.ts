/** Drives a replica: its events, its files and its messages. */
export { Group, type GroupParts } from './lib/Group'
export { StateMachine } from './lib/StateMachine'
