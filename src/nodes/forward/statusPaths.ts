import type { ConfigurationHolder } from '../../configuration/index.js'

/** Where the workers of each service answer questions about themselves. */
export interface StatusPaths {
  /** Takes over the services of the configuration in force. */
  update (): void
  /** The last known path; a service that has left the configuration may have requests in flight. */
  pathOf (service: string): string | undefined
}

/**
 * Creates the paths of one entry, which knows none.
 *
 * @example
 * const statusPaths = createStatusPaths(storeView.configuration)
 * statusPaths.update()
 */
export const createStatusPaths = (configuration: Pick<ConfigurationHolder, 'current'>): StatusPaths => {
  const paths = new Map<string, string>()
  return {
    update: () => {
      for (const { name, statusPath } of configuration.current?.services ?? []) {
        if (statusPath !== undefined) paths.set(name, statusPath)
      }
    },
    pathOf: service => paths.get(service)
  }
}
