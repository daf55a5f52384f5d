/** One HTTP call with a JSON body, as clients, workers and operators make them. */
import { request } from 'node:http'

/**
 * @param bytes - the body as it is sent, in place of `body`.
 * @returns the status and the parsed body; status 0 when there was no complete answer in time.
 */
export function call({ address, method, path, headers = {}, body, bytes, timeout = 1000 }) {
	const [host, port] = address.split(':')
	const content = bytes ?? Buffer.from(body === undefined ? '' : JSON.stringify(body))
	const sent = { ...headers, 'content-length': content.length }
	if (content.length > 0) sent['content-type'] = 'application/json'
	return new Promise((done) => {
		const settle = (status, answer) => {
			clearTimeout(timer)
			done({ status, body: answer })
		}
		const outgoing = request({ host, port, method, path, headers: sent, agent: false }, (reply) => {
			const pieces = []
			reply.on('data', (piece) => pieces.push(piece))
			reply.on('error', () => settle(0))
			reply.on('end', () => settle(reply.statusCode, parse(Buffer.concat(pieces).toString())))
		})
		outgoing.on('error', () => settle(0))
		const timer = setTimeout(() => outgoing.destroy(new Error('no answer in time')), timeout)
		outgoing.end(content)
	})
}

function parse(text) {
	try {
		return JSON.parse(text)
	} catch {
		return undefined
	}
}
