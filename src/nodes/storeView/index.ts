/** The configuration in force and the workers, as read from the platform's store. */
export * from './createStoreView.js'
