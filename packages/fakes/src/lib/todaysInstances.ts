/** The instances that the users have today. */

/** Where an instance is and whether it has a disk. @public */
export interface InstancePlan {
	readonly id: string
	readonly dataCentre: string
	readonly disk: boolean
}

/** Seven instances in three data centres, one disk in each. @public */
export const SEVEN_INSTANCES: readonly InstancePlan[] = [
	{ id: 'isani-1', dataCentre: 'isani', disk: true },
	{ id: 'isani-2', dataCentre: 'isani', disk: false },
	{ id: 'saburtalo-1', dataCentre: 'saburtalo', disk: true },
	{ id: 'saburtalo-2', dataCentre: 'saburtalo', disk: false },
	{ id: 'vake-1', dataCentre: 'vake', disk: true },
	{ id: 'vake-2', dataCentre: 'vake', disk: false },
	{ id: 'vake-3', dataCentre: 'vake', disk: false },
]
