/** The agent beside one rank of an expert group. */
export * from './createMapAgent.js'
export * from './types.js'
