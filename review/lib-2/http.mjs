/** A JSON call over HTTP/1.1; resolves with the status and the body, status 0 for no answer. */
import { request } from 'node:http'

export function call({ address, method, path, body, headers = {}, timeout = 3000 }) {
	const [host, port] = address.split(':')
	return new Promise((done) => {
		const text = body === undefined ? undefined : Buffer.from(JSON.stringify(body))
		const options = {
			host,
			port,
			method,
			path,
			agent: false,
			headers: {
				...headers,
				...(text && { 'content-type': 'application/json', 'content-length': text.length }),
			},
		}
		const sent = request(options, (response) => {
			const pieces = []
			response.on('data', (piece) => pieces.push(piece))
			response.on('error', () => done({ status: 0 }))
			response.on('end', () => {
				clearTimeout(timer)
				let parsed
				try {
					parsed = JSON.parse(Buffer.concat(pieces).toString())
				} catch {
					parsed = undefined
				}
				done({ status: response.statusCode, body: parsed })
			})
		})
		const timer = setTimeout(() => sent.destroy(), timeout)
		sent.on('error', () => {
			clearTimeout(timer)
			done({ status: 0 })
		})
		sent.end(text)
	})
}
