/** Expert maps of a group of ranks: load accounting, planning and switching. */
export * from './constants.js'
export * from './createLoadAccount.js'
export * from './createPlanner.js'
export * from './expertMap.js'
export * from './objective.js'
export * from './types.js'
