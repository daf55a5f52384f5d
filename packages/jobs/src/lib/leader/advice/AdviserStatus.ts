/** How well an instance can ask for advice. */

/** Where an instance stands among those that can ask. @public */
export interface AdviserStatus {
	/** Whether its event loop runs late. */
	readonly isLate: boolean
	/** Its load in coarse steps; 0 while it has little to do. */
	readonly load: number
	/** Whether it has much less to work with than others. */
	readonly isSmall: boolean
}

/** Of an instance of which nothing is known. @internal */
export const DEFAULT_ADVISER_STATUS: AdviserStatus = { isLate: false, load: 0, isSmall: false }
