/** Limits that workers name in their responses, and how the entries share them. */
export * from './constants.js'
export * from './createRateLimitTable.js'
export * from './types.js'
