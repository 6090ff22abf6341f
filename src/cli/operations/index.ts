/** What the commands do, as functions without a command line. */
export * from './applyFiles.js'
export * from './diffFiles.js'
export * from './explainRequest.js'
export * from './fleetStatus.js'
export * from './getRows.js'
export * from './types.js'
export * from './validateFiles.js'
export * from './watchRows.js'
