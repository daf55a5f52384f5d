/** The suitability of an instance for requesting advice. */

/** Properties by which instances that can request advice are compared. @public */
export interface AdviserStatus {
	/** Whether its event loop runs late. */
	readonly isLate: boolean
	/** Its load in coarse steps; 0 while it is lightly loaded. */
	readonly load: number
	/** Whether it has much less processor capacity than others. */
	readonly isSmall: boolean
}

/** The status of an instance of which nothing is known. @internal */
export const DEFAULT_ADVISER_STATUS: AdviserStatus = { isLate: false, load: 0, isSmall: false }
