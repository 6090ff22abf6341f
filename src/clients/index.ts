/** Clients of the outside systems that the operators already run. */
export * from './createHostListClient.js'
export * from './createLogClient.js'
export * from './createOrderClient.js'
export * from './createRankClient.js'
export * from './createUpstreamClient.js'
export * from './types.js'
