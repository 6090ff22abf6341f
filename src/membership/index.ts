/** Live entries and agents: gossip, the address directory, draining and subsets. */
export * from './constants.js'
export * from './createGossip.js'
export * from './datagramCodec.js'
export * from './types.js'
