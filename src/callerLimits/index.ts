/** Limits for what the callers of a process make it hold: bytes of bodies and responses, and connections. */
export { BodyRefusal, CloseReason, OWN_BASE_MB, PLATFORM_BASE_MB } from './constants.js'
export { createUpstreamBytes, type UpstreamBytes } from './createUpstreamBytes.js'
export * from './createReadingFlow.js'
export * from './deriveCallerLimits.js'
export { type CallerGuard, guardCallers, type RequestGuard } from './guardCallers.js'
export * from './refuseAndClose.js'
export type { BudgetLimits } from './types.js'
