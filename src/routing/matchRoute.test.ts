import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { routeSchema, type RouteRow } from '../configuration/index.js'
import { matchRoute } from './matchRoute.js'

const route = (name: string, pathPrefix: string, models?: string[]): RouteRow => routeSchema.parse({
  kind: 'route',
  name,
  match: { pathPrefix, models },
  pool: 'p',
  repeat: 'idempotent',
  deadlineMs: 1_000,
  customerLimit: { requestsPerS: 1, concurrentMax: 1, burstRequests: 1 }
})

const routes = [
  route('any', '/'), route('v1', '/v1'), route('chat', '/v1/chat', ['quote']), route('chat-any', '/v1/chat'), route('b', '/same'), route('a', '/same')
]

describe('matchRoute', () => {
  it.each([
    ['/v1/chat/completions', 'quote', 'chat'],
    ['/v1/chat/completions', 'other', 'chat-any'],
    ['/v1/chat', undefined, 'chat-any'],
    ['/v1/chatter', 'quote', 'v1'],
    ['/v10', 'quote', 'any'],
    ['/same/x', undefined, 'a']
  ])('%s with model %s matches route %s', (path, model, expected) => {
    expect(matchRoute(routes, { path, model })?.name).toBe(expected)
  })

  it('does not depend on the order of the rows', () => {
    const anyOrder = fc.shuffledSubarray(routes, { minLength: routes.length })
    fc.assert(fc.property(anyOrder, fc.constantFrom('/', '/v1/x', '/v1/chat/x', '/same', '/z'), (order, path) => {
      expect(matchRoute(order, { path })?.name).toBe(matchRoute(routes, { path })?.name)
    }), { seed: 5 })
  })
})
