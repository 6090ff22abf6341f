import { describe, expect, it } from 'vitest'
import { RepeatPolicy } from './constants.js'
import { createConfigurationHolder } from './createConfigurationHolder.js'
import type { FleetConfiguration, RouteConfiguration } from './fleetConfiguration.js'

const route = (name: string, host: string, pathPrefix: string): RouteConfiguration => ({
  name,
  host,
  pathPrefix,
  repeat: RepeatPolicy.Idempotent,
  isEventStream: false,
  isResumable: false,
  timeoutMs: 1_000,
  eventGapTargetMs: 0,
  attemptsMax: 1,
  priority: 0,
  isPublic: false,
  backends: [{ service: 's', weight: 1 }]
})
const configuration = (version: number, overrides: Partial<FleetConfiguration> = {}): FleetConfiguration => ({
  version,
  routes: [route('short', 'h', '/a/'), route('long', 'h', '/a/b/'), route('other', 'i', '/a/')],
  services: [{ name: 's' }],
  tenants: [{ name: 't', apiKeys: ['k1', 'k2'] }],
  limits: { headerBytesMax: 1, bodyBytesMax: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  ...overrides
})

describe('configuration holder', () => {
  // Guards against a delayed read or a lagging peer that reverts a process to an older version.
  it('adopts only higher versions', () => {
    const holder = createConfigurationHolder()
    expect(holder.adopt(configuration(7))).toBe(true)
    expect(holder.adopt(configuration(7, { routes: [] }))).toBe(false)
    expect(holder.adopt(configuration(3, { routes: [] }))).toBe(false)
    expect(holder.findRoute('h', '/a/x')?.name).toBe('short')
    expect(holder.adopt(configuration(12, { routes: [] }))).toBe(true)
    expect(holder.findRoute('h', '/a/x')).toBeUndefined()
  })

  it('finds the route of the host with the longest matching path prefix', () => {
    const holder = createConfigurationHolder()
    holder.adopt(configuration(1))
    expect(holder.findRoute('h', '/a/b/c')?.name).toBe('long')
    expect(holder.findRoute('i', '/a/b/c')?.name).toBe('other')
    expect(holder.findRoute('h', '/ab')).toBeUndefined()
  })

  it('rejects an API key once a version without it is adopted', () => {
    const holder = createConfigurationHolder()
    holder.adopt(configuration(1))
    expect(holder.findTenant('k2')?.name).toBe('t')
    holder.adopt(configuration(2, { tenants: [{ name: 't', apiKeys: ['k1'] }] }))
    expect(holder.findTenant('k2')).toBeUndefined()
  })
})
