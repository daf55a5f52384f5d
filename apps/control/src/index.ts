/** `rr-control`: replicas, controllers and the operator API. */
export { ControlProcess, type ControlOverrides } from './lib/ControlProcess'
export {
	checkControlSettings,
	type ControlSettings,
	type WrittenControlSettings,
} from './lib/ControlSettings'
