import type { FleetConfiguration, RouteConfiguration, ServiceConfiguration, TenantConfiguration } from './fleetConfiguration.js'

/** The configuration in force at one process. */
export interface ConfigurationHolder {
  /** Adopts a configuration that is newer than the one in force; returns whether it did. */
  adopt (configuration: FleetConfiguration): boolean
  /** 0 before the first configuration. */
  readonly version: number
  readonly current: FleetConfiguration | undefined
  /** The route of that host with the longest prefix of the path. */
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
 * Creates the holder. A version that is not higher than the one in force is never adopted, so a late
 * read or a late peer cannot take a process back.
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
