/** Isolation and quarantine of requests that crash upstreams, and the crash guard of the agent. */
export * from './attributeCrashes.js'
export * from './constants.js'
export * from './createCrashGuard.js'
export * from './createCrashRecord.js'
export * from './createQuarantine.js'
export * from './requestTraits.js'
export * from './types.js'
export * from './noticeSchema.js'
