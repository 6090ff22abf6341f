import { expect, it } from 'vitest'
import { agentSettingsSchema } from './settings.js'

const SETTINGS = {
  nodeId: 'agent-1',
  failureDomain: 'tema-a',
  region: 'greater-accra',
  linkAddress: '127.0.0.1:7301',
  fleetKeys: [{ keyId: 'fleet-1', secret: 'a-secret-for-loopback-only' }],
  entries: ['127.0.0.1:7201'],
  pool: 'yard-app'
}

// Guards against an agent that starts and cannot reach its upstream, as its calls have no TLS.
it.each([['http://127.0.0.1:7401', true], ['http://[::1]:7401', true], ['https://127.0.0.1:7401', false]])('decides on the URL of an upstream: %s', (upstreamUrl, isValid) => {
  expect(agentSettingsSchema.safeParse({ ...SETTINGS, upstreamUrl }).success).toBe(isValid)
})
