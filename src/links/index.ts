/** Authenticated connections between the processes of the fleet. */
export * from './constants.js'
export * from './createLink.js'
export * from './framing.js'
export * from './handshake.js'
export * from './types.js'
export * from './linkPool.js'
export * from './linkServer.js'
export * from './linkTask.js'
