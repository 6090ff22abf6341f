/** Evacuation of failure domains: which upstreams get no further traffic. */
export * from './createEvacuations.js'
export type * from './types.js'
