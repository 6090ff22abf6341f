import { parseRows } from '../configuration/index.js'
import { createConfigurationSession } from '../cli/configurationSession.js'
import { createSystemClock, ResultCode } from '../core/index.js'
import { createLogClient } from '../clients/index.js'
import { type LogStandIn, startLogStandIn } from '../standIns/index.js'
import { randomBytes } from 'node:crypto'
import { type AgentNode, startAgentNode } from './agent/createAgentNode.js'
import { type EntryNode, startEntryNode } from './entry/createEntryNode.js'
import { type AgentSettings, agentSettingsSchema, type EntrySettings, entrySettingsSchema } from './settings.js'

const FLEET_KEYS = [{ keyId: 'fleet-1', secret: 'a-secret-for-loopback-only' }]
const FAILURE_DOMAINS = ['tema-a', 'spintex-b', 'kasoa-c']
/** In a fleet within one process, every entry learns of a drain within a second. */
const FAST_DRAIN = { drainSettleMs: 1_000, addressLifetimeMs: 1_000 }
const SESSION_TIMEOUT_MS = 5_000

/** A fleet on loopback in one process, for the demo, tests and benchmarks. */
export interface LocalFleet {
  readonly log: LogStandIn
  readonly entries: EntryNode[]
  readonly agents: AgentNode[]
  startEntry (change?: Partial<EntrySettings>): Promise<EntryNode>
  startAgent (change: Pick<AgentSettings, 'pool' | 'upstreamUrl'> & Partial<AgentSettings>): Promise<AgentNode>
  /** Applies YAML rows with the code of the command line tool. */
  applyRows (text: string): Promise<void>
  /** Resolves when a condition is met; rejects after the timeout. */
  until (condition: () => boolean | Promise<boolean>, timeoutMs?: number): Promise<void>
  /** Adds a function to run on stop; the last one added runs first. */
  onStop (cleanup: () => unknown): void
  stop (): Promise<void>
}

const randomIncarnation = () => randomBytes(8).toString('hex')
const POLL_MS = 50

/**
 * Starts a log stand-in and returns a fleet to add nodes to.
 *
 * @example
 * const fleet = await startLocalFleet()
 * await fleet.startEntry()
 */
export const startLocalFleet = async (): Promise<LocalFleet> => {
  const clock = createSystemClock()
  const log = await startLogStandIn()
  const entries: EntryNode[] = []
  const agents: AgentNode[] = []
  const cleanups: (() => unknown)[] = [log.close]
  let entryCount = 0
  let agentCount = 0

  const domainOf = (index: number) => FAILURE_DOMAINS[index % FAILURE_DOMAINS.length]!
  const seedAddresses = () => entries.map(({ linkAddress }) => linkAddress)

  const nodeDefaults = (index: number) => ({
    failureDomain: domainOf(index), region: 'greater-accra', linkAddress: '127.0.0.1:0', entries: seedAddresses(), fleetKeys: FLEET_KEYS
  })

  return {
    log,
    entries,
    agents,
    startEntry: async change => {
      const index = entryCount++
      const settings = entrySettingsSchema.parse({
        ...nodeDefaults(index), nodeId: `entry-${index}`, callerAddress: '127.0.0.1:0', logUrl: log.url, ...FAST_DRAIN, ...change
      })
      const entry = await startEntryNode({ settings, incarnation: randomIncarnation(), clock })
      entries.push(entry)
      cleanups.push(entry.stop)
      return entry
    },
    startAgent: async change => {
      const index = agentCount++
      const settings = agentSettingsSchema.parse({ ...nodeDefaults(index), nodeId: `agent-${index}`, keepAnswersMs: 500, ...change })
      const agent = await startAgentNode({ settings, incarnation: randomIncarnation(), clock })
      agents.push(agent)
      cleanups.push(agent.stop)
      return agent
    },
    applyRows: async text => {
      const client = createLogClient(log.url)
      const session = createConfigurationSession({ client, clock, timeoutMs: SESSION_TIMEOUT_MS })
      try {
        await session.readToEnd()
        const results = await session.apply(session.diff(parseRows(text), false))
        const failed = results.find(({ code }) => code !== ResultCode.EditAccepted)
        if (failed !== undefined) throw new Error(`row ${failed.change.name} was rejected with code ${failed.code}`)
      } finally {
        session.close()
        await client.close()
      }
    },
    until: async (condition, timeoutMs = 15_000) => {
      const endMs = clock.nowMs() + timeoutMs
      while (!await condition()) {
        if (clock.nowMs() > endMs) throw new Error('condition was not met in time')
        await new Promise(resolve => setTimeout(resolve, POLL_MS))
      }
    },
    onStop: cleanup => { cleanups.push(cleanup) },
    stop: async () => {
      for (const cleanup of cleanups.splice(0).reverse()) await cleanup()
    }
  }
}
