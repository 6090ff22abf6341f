/** Limits that workers name in their responses, and how the entries share them. */
export * from './constants.js'
export * from './createPauseTable.js'
export * from './createPermitIssuer.js'
export * from './createRateLimitTable.js'
export * from './createUpstreamGate.js'
export * from './createWorkerLimits.js'
export * from './reportedLimits.js'
export * from './types.js'
