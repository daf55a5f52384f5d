/** Amounts of the resources that workers offer and tasks need. */

/** An amount of each resource. @public */
export interface Resources {
	/** Thousandths of a processor. */
	readonly cpu: number
	/** MiB. */
	readonly memory: number
	/** Whole accelerators. */
	readonly accelerators: number
}

/** Zero of each resource. @public */
export const NO_RESOURCES: Resources = { cpu: 0, memory: 0, accelerators: 0 }

/**
 * @param need - an amount that is asked for.
 * @returns it in whole units, which sums and differences keep exactly.
 * @public
 */
export function roundUp(need: Resources): Resources {
	return mapAmounts(need, Math.ceil)
}

/**
 * @param capacity - an amount that is offered.
 * @returns it in whole units.
 * @public
 */
export function roundDown(capacity: Resources): Resources {
	return mapAmounts(capacity, Math.floor)
}

function mapAmounts(amount: Resources, round: (value: number) => number): Resources {
	const whole = (value: number): number => Math.min(round(value), Number.MAX_SAFE_INTEGER)
	const { cpu, memory, accelerators } = amount
	return { cpu: whole(cpu), memory: whole(memory), accelerators: whole(accelerators) }
}

/**
 * @param need - an amount.
 * @param free - another amount.
 * @returns whether the need is within the free amount, for each resource.
 * @public
 */
export function fits(need: Resources, free: Resources): boolean {
	return (
		need.cpu <= free.cpu && need.memory <= free.memory && need.accelerators <= free.accelerators
	)
}

/**
 * @param left - an amount.
 * @param right - another amount.
 * @returns their sum.
 * @public
 */
export function plus(left: Resources, right: Resources): Resources {
	return {
		cpu: left.cpu + right.cpu,
		memory: left.memory + right.memory,
		accelerators: left.accelerators + right.accelerators,
	}
}

/**
 * @param left - an amount.
 * @param right - the amount to subtract.
 * @returns the difference.
 * @public
 */
export function minus(left: Resources, right: Resources): Resources {
	return {
		cpu: left.cpu - right.cpu,
		memory: left.memory - right.memory,
		accelerators: left.accelerators - right.accelerators,
	}
}

/**
 * @param amount - the amount for one.
 * @param count - the number.
 * @returns the amount for all of them.
 * @public
 */
export function times(amount: Resources, count: number): Resources {
	return {
		cpu: amount.cpu * count,
		memory: amount.memory * count,
		accelerators: amount.accelerators * count,
	}
}
