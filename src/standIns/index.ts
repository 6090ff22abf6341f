/** Test doubles of the platform, engines and services, each behind its real interface. */
export * from './collectorStandIn.js'
export * from './engineStandIn.js'
export * from './hostListStandIn.js'
export * from './listenOnLoopback.js'
export * from './logStandIn.js'
export * from './relayStandIn.js'
export * from './serviceStandIn.js'
export * from './weightStoreStandIn.js'
