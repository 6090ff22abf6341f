/** Shared harness of the bench suites: virtual time, a fake network with faults, and figures. */
export * from './eventQueue.js'
export * from './figures.js'
export * from './network.js'
