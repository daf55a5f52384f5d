/** Assigns each customer its home data centre. */
import { createHash } from 'node:crypto'
import type { Configuration } from './configuration'

/**
 * @param configuration - the configuration in force.
 * @param dataCentres - all data centres.
 * @param customer - a customer.
 * @returns its home: the configured one, or else one chosen by rendezvous hashing (highest random
 * weight) of its name, which is stable while the set of data centres does not change.
 * @public
 */
export function homeOf(
	configuration: Pick<Configuration, 'customers'>,
	dataCentres: readonly string[],
	customer: string
): string {
	const named = configuration.customers.find((one) => one.name === customer)
	return named?.home ?? defaultHome(dataCentres, customer)
}

function defaultHome(dataCentres: readonly string[], customer: string): string {
	let best = ''
	let bestWeight = ''
	for (const dataCentre of dataCentres) {
		const weight = createHash('sha256').update(`${dataCentre}\n${customer}`).digest('hex')
		if (weight > bestWeight) {
			best = dataCentre
			bestWeight = weight
		}
	}
	return best
}
