import { createRandom, type TimestampMs } from '../../src/core/index.js'
import {
  type AgentRef, CallMessageKind, createKeyedCall, createKeyedRuns, onceStream, OwnerMessageKind, RunsMessageKind
} from '../../src/once/index.js'
import { createFakeNetwork } from '../harness/index.js'
import { type AgentProcess, createAgentProcess } from './agentProcess.js'
import { createEntryProcess, type EntryProcess } from './entryProcess.js'
import { createFakeLog } from './fakeLog.js'
import { createHost, type Host } from './host.js'
import type { CallRecord, RunRecord, Wire, World, WorldOptions } from './worldTypes.js'

const TICK_MS = 250
const DEADLINE_MS = 8_000
/** An entry learns from the host list or a new link that an agent's incarnation has ended. */
const AGENT_GONE_NOTICE_MAX_MS = 3_000

const entryId = (entry: number) => `entry-${entry}`
const agentId = (agent: number) => `agent-${agent}`

/**
 * Entries, agents, upstreams and a log around the cores of `src/once`, on virtual time.
 *
 * @example
 * const world = createWorld({ queue, seed: 1, entries: 3, agents: 3, windowMs: 60_000, network, log, upstream })
 * const call = world.submit({ entry: 0, key, body: 'order 17' })
 * world.run(30_000)
 */
export const createWorld = (options: WorldOptions): World => {
  const { queue, onStep, factories = {}, clockSkewMaxMs = 0 } = options
  const random = createRandom(options.seed)
  const cuts = new Map<string, TimestampMs>()
  const isCut = (from: string, to: string) => cuts.size > 0 && (cuts.get(`${from}/${to}`) ?? 0) > queue.clock.nowMs()
  const network = createFakeNetwork<Wire>(queue, random, { ...options.network, isPartitioned: isCut })
  const log = createFakeLog(queue, random, options.log)
  const calls: CallRecord[] = []
  const callsById = new Map<string, CallRecord>()
  const runs: RunRecord[] = []
  const shards = new Set<number>()
  const ownerViews = Array.from({ length: options.entries }, () => 0)
  let openCount = 0
  let isTicking = false

  const createSkewedClock = () => {
    const skewMs = clockSkewMaxMs === 0 ? 0 : random.int(-clockSkewMaxMs, clockSkewMaxMs)
    return { nowMs: () => queue.clock.nowMs() + skewMs }
  }

  const end = (record: CallRecord) => {
    if (record.endedMs !== undefined) return
    record.endedMs = queue.clock.nowMs()
    openCount -= 1
  }

  const createNode = <Process extends { receive (wire: Wire, from: string): void }>(
    id: string, start: (incarnation: number, whenLive: (act: () => void) => void) => Process
  ): Host<Process> => {
    const host: Host<Process> = createHost<Process>(queue, incarnation => {
      const process: Process = start(incarnation, act => host.act(current => {
        if (current === process) act()
      }))
      return process
    })
    network.join(id, (wire, from) => {
      onStep?.()
      host.act(process => process.receive(wire, from))
    })
    return host
  }

  const sendFrom = (from: string) => (to: string, wire: Wire) => {
    if (from !== to) network.send(from, to, wire)
    // A process that asks itself uses no network.
    else queue.after(0, () => entries[Number(from.slice('entry-'.length))]!.act(entry => entry.receive(wire, from)))
  }

  const agents: Array<Host<AgentProcess>> = Array.from({ length: options.agents }, (_, agent) => {
    const clock = createSkewedClock()
    return createNode(agentId(agent), (incarnation, whenLive) => createAgentProcess({
      incarnation: `${agentId(agent)}.${incarnation}`,
      clock,
      world: options,
      random,
      createRuns: factories.createRuns ?? createKeyedRuns,
      whenLive,
      send: sendFrom(agentId(agent)),
      onRunStarted: run => runs.push(run),
      onVoided: requestId => { callsById.get(requestId)!.proofMs = queue.clock.nowMs() }
    }))
  })

  /** Membership lags: an agent that is down may still be chosen under its last incarnation. */
  const lastRefs: AgentRef[] = agents.map((_, agent) => ({ incarnation: `${agentId(agent)}.0`, address: agentId(agent) }))
  const chooseAgent = (excluded: AgentRef[]): AgentRef | undefined => {
    agents.forEach(({ state }, agent) => {
      if (state !== undefined) lastRefs[agent] = { incarnation: state.incarnation, address: agentId(agent) }
    })
    const free = lastRefs.filter(({ incarnation }) => !excluded.some(other => other.incarnation === incarnation))
    return free.length === 0 ? undefined : random.pick(free)
  }

  const entryClocks = ownerViews.map(createSkewedClock)
  const entries: Array<Host<EntryProcess>> = ownerViews.map((_, entry) =>
    createNode(entryId(entry), (_incarnation, whenLive) => createEntryProcess({
      id: entryId(entry),
      clock: entryClocks[entry]!,
      world: options,
      log,
      createCall: factories.createCall ?? createKeyedCall,
      whenLive,
      ownerId: () => entryId(ownerViews[entry]!),
      chooseAgent,
      send: sendFrom(entryId(entry)),
      onEnded: end
    })))

  const tick = () => {
    entries.forEach((host, entry) => host.act(process => {
      process.toOwner({ kind: OwnerMessageKind.Tick })
      // Gaining a shard again is ignored; after a restart it makes the entry read the window.
      if (ownerViews[entry] === entry) {
        for (const shard of shards) process.toOwner({ kind: OwnerMessageKind.ShardGained, shard })
      }
      process.toAllCalls({ kind: CallMessageKind.Tick })
    }))
    for (const host of agents) host.act(process => process.handle({ kind: RunsMessageKind.Tick }))
  }

  const startTicks = () => {
    if (isTicking) return
    isTicking = true
    queue.every(options.tickMs ?? TICK_MS, () => {
      tick()
      isTicking = openCount > 0
      return isTicking
    })
  }

  return {
    submit: submitted => {
      const { entry, key, body, deadlineMs = DEADLINE_MS } = submitted
      const requestId = `${entryId(entry)}-${calls.length}`
      const record: CallRecord = {
        requestId, scopedKey: key.scopedKey, body, startedMs: queue.clock.nowMs(), forwarded: ''
      }
      calls.push(record)
      callsById.set(requestId, record)
      openCount += 1
      startTicks()
      shards.add(key.shard)
      if (entries[entry]!.state === undefined) end(record)
      entries[entry]!.act(process => process.submit(submitted, record, deadlineMs))
      ownerViews.forEach((owner, own) => {
        if (owner !== own) return
        entries[own]!.act(process => process.toOwner({ kind: OwnerMessageKind.ShardGained, shard: key.shard }))
      })
      return record
    },
    crashEntry: (entry, restartMs) => {
      // The caller sees a broken connection: an end without any outcome.
      for (const call of calls) if (call.requestId.startsWith(`${entryId(entry)}-`)) end(call)
      entries[entry]!.crash(restartMs)
    },
    crashAgent: (agent, restartMs) => {
      const incarnation = agents[agent]!.state?.incarnation
      agents[agent]!.crash(restartMs)
      if (incarnation === undefined) return
      for (const host of entries) {
        if (random.next() < 0.5) continue
        queue.after(random.next() * AGENT_GONE_NOTICE_MAX_MS, () => host.act(process =>
          process.toAllCalls({ kind: CallMessageKind.AgentGone, incarnation })))
      }
    },
    pauseEntry: (entry, durationMs) => entries[entry]!.pause(durationMs),
    pauseAgent: (agent, durationMs) => agents[agent]!.pause(durationMs),
    setOwnerView: (entry, owner) => {
      const earlier = ownerViews[entry]
      if (earlier === owner) return
      ownerViews[entry] = owner
      const kind = owner === entry ? OwnerMessageKind.ShardGained : OwnerMessageKind.ShardLost
      const isConcerned = owner === entry || earlier === entry
      entries[entry]!.act(process => {
        if (isConcerned) for (const shard of shards) process.toOwner({ kind, shard })
        process.toAllCalls({ kind: CallMessageKind.OwnerChanged })
      })
    },
    cut: (entry, agent, durationMs, isNoticed) => {
      const untilMs = queue.clock.nowMs() + durationMs
      cuts.set(`${entryId(entry)}/${agentId(agent)}`, untilMs)
      cuts.set(`${agentId(agent)}/${entryId(entry)}`, untilMs)
      const incarnation = agents[agent]!.state?.incarnation
      if (!isNoticed || incarnation === undefined) return
      entries[entry]!.act(process => process.toAllCalls({ kind: CallMessageKind.LinkLost, incarnation }))
    },
    callerGone: ({ requestId }) => entries[Number(requestId.split('-')[1])]!.act(process =>
      process.toCall(requestId, { kind: CallMessageKind.CallerGone })),
    run: limitMs => queue.runToEnd(queue.clock.nowMs() + limitMs),
    calls,
    runs,
    records: shard => log.records(onceStream(shard)),
    expireBefore: (shard, offset) => log.expireBefore(onceStream(shard), offset),
    get appendCount () { return log.appendCount }
  }
}
