/** Route matching and selection of the upstream or worker for a request. */
export * from './constants.js'
export * from './createRouter.js'
export * from './matchRoute.js'
export * from './types.js'
export * from './createWorkerPlacement.js'
export { type UpstreamExplanation, UpstreamLeftOut } from './explainUpstreams.js'
export { type CandidateExplanation, LeftOutReason, type PlacementExplanation } from './explainCandidates.js'
