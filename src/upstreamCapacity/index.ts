/** Learned capacity of upstreams: how many concurrent requests each takes well, and how fast it works. */
export * from './createUpstreamCapacity.js'
export { isReportedTimes, runKeyOf, sumReportedTimes } from './reportedTimes.js'
export type * from './types.js'
