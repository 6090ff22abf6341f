/** Routes and pools: the operators' tables. */
export * from './constants.js'
export * from './rowSchema.js'
