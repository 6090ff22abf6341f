/** The agent that runs next to one rank of an expert group. */
export * from './createMapAgent.js'
export * from './types.js'
