/** Mutual TLS for the links, from files; or none, for development on loopback. */
import { readFileSync } from 'node:fs'
import { ChannelCredentials, ServerCredentials } from '@grpc/grpc-js'

/** Paths of PEM files. @public */
export interface TlsFiles {
	/** Certificates of those who may sign peers. */
	readonly authority: string
	readonly certificate: string
	readonly key: string
}

/** Credentials for both ends of a link. @public */
export interface LinkSecurity {
	readonly serverCredentials: ServerCredentials
	readonly channelCredentials: ChannelCredentials
}

/**
 * @param files - PEM files, or undefined for plain connections.
 * @returns credentials for both ends; with files, each end must show a certificate of the authority.
 * @throws Error when a file can't be read.
 * @public
 */
export function linkSecurity(files: TlsFiles | undefined): LinkSecurity {
	if (!files) {
		return {
			serverCredentials: ServerCredentials.createInsecure(),
			channelCredentials: ChannelCredentials.createInsecure(),
		}
	}
	const authority = readFileSync(files.authority)
	const certificate = readFileSync(files.certificate)
	const key = readFileSync(files.key)
	const pair = [{ private_key: key, cert_chain: certificate }]
	return {
		serverCredentials: ServerCredentials.createSsl(authority, pair, true),
		channelCredentials: ChannelCredentials.createSsl(authority, key, certificate),
	}
}
