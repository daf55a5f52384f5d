/** HTTP helpers for clients and servers: JSON requests, bodies and header rules. */
export { endToEndHeaders, type EndToEndHeader } from './lib/headers'
export { BodyError, readBody } from './lib/readBody'
export {
	requestJson,
	type JsonRequest,
	type JsonResponse,
	type RequestError,
} from './lib/requestJson'
export { isAddress, toAddress, type Address } from './lib/address'
export { parseJson } from './lib/parseJson'
export { HttpServer, type HttpServerResponse, type HttpServerRequest } from './lib/HttpServer'
