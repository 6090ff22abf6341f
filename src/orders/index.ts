/** Placement of models, roles and adapters on engines, with the placement lease and fencing tokens. */
export * from './constants.js'
export * from './types.js'
export {
  createLeaseHolder, type HolderEffect, HolderEffectKind, type HolderMessage, HolderMessageKind, type LeaseHolderOptions
} from './createLeaseHolder.js'
export { createLeaseReader, type LeaseReaderOptions } from './createLeaseReader.js'
export { createOrderGate, type OrderGateOptions } from './createOrderGate.js'
export { applyOrder, isEmptyEngine as isFreshEngine, nextOrder } from './engineOrders.js'
export { leaseDocumentSchema, parseLeaseBody, poolAssignmentSchema, toLeasePage } from './leaseRecordSchema.js'
export { type LiveAgent, type PlacementInput, planPlacement } from './planPlacement.js'
export * from './frames.js'
