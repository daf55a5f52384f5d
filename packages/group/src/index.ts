/** Drives a replica: its events, its files and its messages. */
export { Group, type GroupOptions } from './lib/Group'
export { StateMachine } from './lib/StateMachine'
