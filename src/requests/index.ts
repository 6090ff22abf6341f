/** The life of one request at the entry and its run at the agent. */
export * from './constants.js'
export * from './createAgentRuns.js'
export * from './createRequestCore.js'
export * from './createResponseAssembler.js'
export * from './createResponseBuffer.js'
export * from './frames.js'
export * from './responseHash.js'
export * from './types.js'
