/** Selection of the upstream for a request. */
export * from './constants.js'
export * from './createRouter.js'
export * from './matchRoute.js'
export * from './types.js'
export * from './createWorkerPlacement.js'
