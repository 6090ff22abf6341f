import type { FleetConfiguration, RouteConfiguration, ServiceConfiguration, TenantConfiguration } from './fleetConfiguration.js'

/** Holds the configuration that is active in one process. */
export interface ConfigurationHolder {
  /** Activates a configuration if it is newer than the active one; returns whether it did. */
  adopt (configuration: FleetConfiguration): boolean
  /** Version of the active configuration; 0 before the first one. */
  readonly version: number
  readonly current: FleetConfiguration | undefined
  /** Returns the route of the host whose path prefix is the longest match. */
  findRoute (host: string, path: string): RouteConfiguration | undefined
  findTenant (apiKey: string): TenantConfiguration | undefined
  findService (name: string): ServiceConfiguration | undefined
  readonly hasTenants: boolean
}

interface Index {
  routesByHost: Map<string, RouteConfiguration[]>
  tenantsByKey: Map<string, TenantConfiguration>
  services: Map<string, ServiceConfiguration>
}

const createIndex = ({ routes, tenants, services }: FleetConfiguration): Index => {
  const routesByHost = new Map<string, RouteConfiguration[]>()
  for (const route of routes) routesByHost.set(route.host, [...routesByHost.get(route.host) ?? [], route])
  for (const list of routesByHost.values()) list.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)
  return {
    routesByHost,
    tenantsByKey: new Map(tenants.flatMap(tenant => tenant.apiKeys.map(key => [key, tenant] as const))),
    services: new Map(services.map(service => [service.name, service]))
  }
}

/**
 * Creates an empty holder. It only adopts higher versions, so a delayed read or a peer that lags
 * cannot revert a process to an older configuration.
 *
 * @example
 * const holder = createConfigurationHolder()
 * holder.adopt(configuration) // true
 * holder.adopt(configuration) // false
 */
export const createConfigurationHolder = (): ConfigurationHolder => {
  let current: FleetConfiguration | undefined
  let index: Index = { routesByHost: new Map(), tenantsByKey: new Map(), services: new Map() }

  return {
    adopt: configuration => {
      if (current !== undefined && configuration.version <= current.version) return false
      current = configuration
      index = createIndex(configuration)
      return true
    },
    get version () { return current?.version ?? 0 },
    get current () { return current },
    findRoute: (host, path) => index.routesByHost.get(host)?.find(({ pathPrefix }) => path.startsWith(pathPrefix)),
    findTenant: apiKey => index.tenantsByKey.get(apiKey),
    findService: name => index.services.get(name),
    get hasTenants () { return (current?.tenants.length ?? 0) > 0 }
  }
}
