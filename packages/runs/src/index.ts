/** Seeded runs of the group and decision code under faults. */
export { Fault, GroupRun, type GroupRunOptions, type GroupRunTally } from './lib/GroupRun'
export { CellRun, type CellRunOptions, type CellRunTally } from './lib/cell/CellRun'
export { CellFault } from './lib/cell/Faults'
export { GOLDEN_FOLDER } from './lib/cell/goldenFolder'
export { Session } from './lib/cell/Session'
export { SESSIONS, type KeptSession } from './lib/cell/sessions'
export { ALL_FAULTS } from './lib/jobs/JobFaults'
export { JobRun, type JobRunOptions, type JobRunTally } from './lib/jobs/JobRun'
