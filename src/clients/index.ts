/** Clients for external systems that operators run: the log, the host list, the upstreams and the weight store. */
export * from './createHostListClient.js'
export * from './createLogClient.js'
export * from './createOrderClient.js'
export * from './createRankClient.js'
export * from './createUpstreamClient.js'
export * from './types.js'
export * from './upstreamNotice.js'
