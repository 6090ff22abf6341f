/* eslint camelcase: "off" -- the fields have the names of the platform */

/** Topics of the store in which the operator and the workers write. */
export const OPERATOR_TOPIC = 'keyed.op'
export const WORKERS_TOPIC = 'keyed.servers'

/** A route as the operator writes it. */
export const createRoute = (name, overrides = {}) => ({
  name,
  host: 'site.example',
  path_prefix: `/${name}/`,
  kind: 'idempotent',
  timeout_ms: 2_500,
  goal_ms: 200,
  priority: 1,
  service: 'plain',
  max_attempts: 2,
  ...overrides
})

/** A configuration as the operator writes it. */
export const createConfiguration = (version, overrides = {}) => ({
  version,
  routes: [createRoute('look'), createRoute('book', { kind: 'non_idempotent', max_attempts: 1 }), createRoute('ask', { kind: 'streaming', gap_target_ms: 120, timeout_ms: 8_000 })],
  services: [{ name: 'plain', health_path: '/health', max_conns: 200 }],
  limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
  tenants: [{ name: 'tenant-a', api_keys: ['key-a', 'key-b'], priority: 1 }],
  ...overrides
})

/** A worker's entry in the store. */
export const createRegistration = (address, overrides = {}) => ({
  service: 'plain', address, zone: 'zone-a', version: 'v1', slots: 8, state: 'ready', cold_left_ms: 0, sequence: 1, born: 1_700_000_000_000, ...overrides
})
