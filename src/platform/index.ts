/** The outside systems that the operators already run. */
export * from './types.js'
