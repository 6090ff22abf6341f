/** What a process knows from the platform's store: the configuration in force and the workers. */
export * from './fleetKnowledge.js'
export type * from './types.js'
