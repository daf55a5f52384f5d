/** Seeded runs of the group and decision code under faults. */
export { Fault, GroupRun, type GroupRunOptions, type GroupRunTally } from './lib/GroupRun'
