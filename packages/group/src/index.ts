/** Drives a replica: its events, files and messages. */
export { Group, type GroupOptions } from './lib/Group'
export { StateMachine } from './lib/StateMachine'
