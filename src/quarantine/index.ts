/** Requests that crash upstreams: suspects, verdicts and the guard at the agent. */
export * from './constants.js'
export * from './createCrashGuard.js'
export * from './createCrashRecord.js'
export * from './createQuarantine.js'
export * from './types.js'
export * from './noticeSchema.js'
