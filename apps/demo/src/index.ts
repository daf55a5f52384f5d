/** A whole cell on loopback with a short mixed day. */
export { makeCall, type Call, type CallResult } from './lib/Caller'
export { FakeFleet, TODAYS_WORKERS, type FleetPlan } from './lib/FakeFleet'
export { freePorts } from './lib/freePorts'
export { LocalCell, type CellInstance } from './lib/LocalCell'
export { MixedDay } from './lib/MixedDay'
