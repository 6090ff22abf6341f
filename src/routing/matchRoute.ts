import type { RouteRow } from '../configuration/index.js'

const hasPrefix = (path: string, prefix: string): boolean => {
  if (!path.startsWith(prefix)) return false
  return prefix.endsWith('/') || path.length === prefix.length || path[prefix.length] === '/'
}

const matchesModel = ({ match: { models } }: RouteRow, model: string | undefined): boolean =>
  models === undefined || (model !== undefined && models.includes(model))

const isMoreSpecific = (a: RouteRow, b: RouteRow): boolean => {
  const lengthDifference = a.match.pathPrefix.length - b.match.pathPrefix.length
  if (lengthDifference !== 0) return lengthDifference > 0
  const modelDifference = Number(a.match.models !== undefined) - Number(b.match.models !== undefined)
  // Ties are broken by name, so that every entry picks the same route.
  return modelDifference !== 0 ? modelDifference > 0 : a.name < b.name
}

/**
 * Returns the route for a request: the one with the longest matching path prefix among the routes that
 * accept its model. Of equal prefixes, a route that names the model wins. Prefixes match whole path segments.
 *
 * @example
 * matchRoute(routes, { path: '/v1/completions', model: 'quote' })?.pool
 */
export const matchRoute = (
  routes: Iterable<RouteRow>,
  { path, model }: { path: string, model?: string }
): RouteRow | undefined => {
  let best: RouteRow | undefined
  for (const route of routes) {
    if (!hasPrefix(path, route.match.pathPrefix) || !matchesModel(route, model)) continue
    if (best === undefined || isMoreSpecific(route, best)) best = route
  }
  return best
}
