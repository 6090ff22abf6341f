import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { request } from 'undici'
import { stringify } from 'yaml'
import { createConfigurationSession } from '../../src/cli/configurationSession.js'
import { parseRows } from '../../src/configuration/index.js'
import { createSystemClock } from '../../src/core/index.js'
import { createLogClient } from '../../src/clients/index.js'
import { type Child, freeAddress, startChild } from './childProcess.js'
import { ChildServer } from './standInProcess.js'

const STAND_IN_PROGRAM = 'bench/overhead/standInProcess.ts'
const SESSION_TIMEOUT_MS = 5_000
const READY_LIMIT_MS = 15_000
const READY_POLL_MS = 50
const FLEET_KEYS = [{ keyId: 'k1', secret: 'a-secret-for-loopback-only' }]
/** Limits that no round reaches: the suite measures the cost of relayed requests, not of refused ones. */
const NO_LIMIT = { requestsPerS: 1_000_000, concurrentMax: 100_000, burstRequests: 1_000_000 }

export const MODEL = 'quote-model'
export const CUSTOMER = 'ridgeline-hardware'

const ROWS = [
  { kind: 'pool', name: 'engines', upstreamKind: 'engine', checksFence: false, model: MODEL, version: '1', roles: { mixed: 1 }, subsetSize: 1 },
  { kind: 'pool', name: 'services', upstreamKind: 'service', onceWindowMs: 3_600_000, subsetSize: 1 },
  { kind: 'route', name: 'streams', match: { pathPrefix: '/v1/completions' }, pool: 'engines', repeat: 'idempotent', priority: 'interactive', deadlineMs: 30_000, customerLimit: NO_LIMIT },
  { kind: 'route', name: 'orders', match: { pathPrefix: '/orders' }, pool: 'services', repeat: 'atMostOnce', priority: 'interactive', deadlineMs: 20_000, customerLimit: NO_LIMIT }
]

/**
 * Processes of the suite: one entry, one agent each for the engine and the service, the stand-ins and the
 * naive relay.
 */
export interface Deployment {
  entryUrl: string
  engineUrl: string
  serviceUrl: string
  naiveUrl: string
  entry: Child
  engineAgent: Child
  naiveRelay: Child
  stop (): Promise<void>
}

const applyRows = async (logUrl: string) => {
  const client = createLogClient(logUrl)
  const session = createConfigurationSession({ client, clock: createSystemClock(), timeoutMs: SESSION_TIMEOUT_MS })
  await session.readToEnd()
  await session.apply(session.diff(parseRows(ROWS.map(row => stringify(row)).join('---\n')), false))
  session.close()
  await client.close()
}

const waitUntilServing = async (entryUrl: string) => {
  const endMs = Date.now() + READY_LIMIT_MS
  for (;;) {
    const status = await request(`${entryUrl}/v1/status`).then(({ body }) => body.json() as Promise<{ linkedAgents: number }>, () => undefined)
    if (status?.linkedAgents === 2) return
    if (Date.now() > endMs) throw new Error('timed out waiting for the entry to link to both agents')
    await new Promise(resolve => setTimeout(resolve, READY_POLL_MS))
  }
}

/**
 * Starts all processes on loopback addresses and waits until the entry has links to both agents.
 *
 * @example
 * const deployment = await startDeployment()
 */
export const startDeployment = async (): Promise<Deployment> => {
  const folder = mkdtempSync(join(tmpdir(), 'baobabdrift-overhead-'))
  const children: Child[] = []
  const start = async (program: string, programArguments: readonly string[]) => {
    const child = await startChild(program, programArguments)
    children.push(child)
    return child
  }
  const startNode = (program: string, name: string, settings: unknown) => {
    const path = join(folder, `${name}.yaml`)
    writeFileSync(path, stringify(settings))
    return start(`src/programs/${program}.ts`, ['--settings', path])
  }
  const stop = async () => {
    await Promise.all(children.map(child => child.stop()))
    rmSync(folder, { recursive: true })
  }

  try {
    const [engine, service, log] = await Promise.all(
      [ChildServer.Engine, ChildServer.Service, ChildServer.Log].map(kind => start(STAND_IN_PROGRAM, [kind])))
    const naiveRelay = await start(STAND_IN_PROGRAM, [ChildServer.NaiveRelay, engine!.firstLine])
    await applyRows(log!.firstLine)
    const [callerAddress, entryLinkAddress] = [await freeAddress(), await freeAddress()]
    const common = { failureDomain: 'tema-a', region: 'greater-accra', entries: [entryLinkAddress], fleetKeys: FLEET_KEYS }
    const entry = await startNode('entry', 'entry', {
      ...common, nodeId: 'entry-1', callerAddress, linkAddress: entryLinkAddress, logUrl: log!.firstLine, capacityRequests: 10_000
    })
    const startAgent = async (nodeId: string, pool: string, upstreamUrl: string) =>
      startNode('agent', nodeId, { ...common, nodeId, linkAddress: await freeAddress(), pool, upstreamUrl })
    const engineAgent = await startAgent('agent-1', 'engines', engine!.firstLine)
    await startAgent('agent-2', 'services', service!.firstLine)
    const entryUrl = `http://${callerAddress}`
    await waitUntilServing(entryUrl)
    return { entryUrl, engineUrl: engine!.firstLine, serviceUrl: service!.firstLine, naiveUrl: naiveRelay.firstLine, entry, engineAgent, naiveRelay, stop }
  } catch (error) {
    await stop()
    throw error
  }
}
