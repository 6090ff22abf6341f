/** Configuration of routes and pools, read from the log and from the store. */
export * from './constants.js'
export * from './rowSchema.js'
export * from './types.js'
export * from './followerTypes.js'
export { canonicalText } from './canonicalText.js'
export { baseOffsetOf, pickNewerVersion, rowKeyOf } from './configurationState.js'
export { createConfigurationReader, type ConfigurationReaderOptions } from './createConfigurationReader.js'
export {
  createEditSubmitter, type SubmitEffect, SubmitEffectKind, type SubmitMessage, SubmitMessageKind
} from './createEditSubmitter.js'
export { createLogFollower, type LogFollowerOptions } from './createLogFollower.js'
export { diffRows } from './diffRows.js'
export { parseRows } from './parseRows.js'
export {
  configurationDocumentSchema, parseConfigurationBody, toConfigurationPage, toConfigurationRecord, toPageMessage
} from './recordSchema.js'
export { createFollowerTask, type FollowerTaskOptions } from './followerTask.js'
export * from './createConfigurationHolder.js'
export * from './fleetConfiguration.js'
