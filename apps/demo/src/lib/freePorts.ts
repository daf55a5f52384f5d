/** Finds ports on loopback that nobody uses. */
import { createServer, type AddressInfo, type Server } from 'node:net'

/**
 * @param count - how many.
 * @returns ports that were free a moment ago.
 * @public
 */
export async function freePorts(count: number): Promise<number[]> {
	const servers = await Promise.all(Array.from({ length: count }, listen))
	const ports = servers.map((server) => (server.address() as AddressInfo).port)
	await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))))
	return ports
}

function listen(): Promise<Server> {
	return new Promise((resolve, reject) => {
		const server = createServer()
		server.once('error', reject)
		server.listen(0, '127.0.0.1', () => resolve(server))
	})
}
