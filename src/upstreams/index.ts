/** HTTP/1.1 connections to upstreams and to the store: what is idle, what is sound, what has left this process. */
export * from './connectionPool.js'
export * from './constants.js'
export * from './createResponseReader.js'
export * from './httpCall.js'
export * from './types.js'
