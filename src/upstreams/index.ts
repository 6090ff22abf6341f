/**
 * HTTP/1.1 connections to upstreams and to the store. Tracks which connections can be reused and whether a failed
 * request was sent.
 */
export * from './askUpstream.js'
export * from './checkUpstream.js'
export * from './connectionPool.js'
export * from './constants.js'
export * from './createResponseReader.js'
export * from './encodeRequest.js'
export * from './headerFields.js'
export * from './httpCall.js'
export { isFramingValid, statesEnd } from './responseFraming.js'
export * from './types.js'
