/** Documents and process settings, validated with all findings in one report. */
export {
	configurationSchema,
	DEFAULT_CONFIGURATION,
	parseConfiguration,
	type Configuration,
} from './lib/configuration'
export {
	IntentKind,
	intentSchema,
	parseIntent,
	parsedIntentSchema,
	type Intent,
} from './lib/intent'
export { parseDocument } from './lib/parseDocument'
export { duration, memory, name, processors } from './lib/quantities'
export { homeOf } from './lib/homeOf'
export {
	dataCentresOf,
	groupsOf,
	parseInstances,
	SYSTEM_GROUP,
	type GroupLayout,
	type GroupVoter,
	type Instance,
} from './lib/instances'
export { SettingsReader, type Endpoint } from './lib/processSettings'
export {
	fenceRevisionOf,
	isDown,
	NO_REVISION,
	NOTHING_IN_FORCE,
	type Fence,
	type InForce,
	type KeptRevision,
} from './lib/inForce'
