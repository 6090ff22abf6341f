/** Live entries and agents: gossip, the address directory, draining and subsets. */
export * from './chooseSubset.js'
export * from './constants.js'
export * from './createDirectory.js'
export * from './createDrain.js'
export * from './createGossip.js'
export * from './datagramCodec.js'
export * from './gossipTask.js'
export * from './types.js'
