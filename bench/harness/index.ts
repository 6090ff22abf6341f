/** Shared harness of the bench suites: virtual time, a faulty network and figures. */
export * from './eventQueue.js'
export * from './figures.js'
export * from './network.js'
