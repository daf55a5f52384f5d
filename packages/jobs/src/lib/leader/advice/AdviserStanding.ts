/** How well an instance can ask for advice. */

/** Where an instance stands among those that can ask. @public */
export interface AdviserStanding {
	/** Whether its event loop runs late. */
	readonly late: boolean
	/** Its load in coarse steps; 0 while it has little to do. */
	readonly load: number
	/** Whether it has much less to work with than others. */
	readonly small: boolean
}

/** Of an instance of which nothing is known. @internal */
export const PLAIN_STANDING: AdviserStanding = { late: false, load: 0, small: false }
