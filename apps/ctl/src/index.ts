/** The operators' command line. */
export { rrctl } from './lib/commands'
export { OperatorClient, type ClientSettings } from './lib/OperatorClient'
