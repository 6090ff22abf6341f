/** Weights of uneven entries: capacity from the settings, measured load, and what follows from both. */
export * from './capacityOf.js'
export * from './constants.js'
export * from './createFleetShare.js'
export * from './createOwnWeight.js'
export * from './drawEntries.js'
export * from './packWeights.js'
export type * from './types.js'
export * from './weightOf.js'
