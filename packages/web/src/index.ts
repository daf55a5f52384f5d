/** HTTP helpers on both sides: JSON calls, bodies and header rules. */
export { endToEndHeaders, type PassedHeader } from './lib/headers'
export { BodyFault, readBody } from './lib/readBody'
export { requestJson, type JsonCall, type JsonReply, type NoReply } from './lib/requestJson'
export { toAddress, type Address } from './lib/address'
export { HttpServer, type HttpServerResponse, type HttpServerRequest } from './lib/HttpServer'
