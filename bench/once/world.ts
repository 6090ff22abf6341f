import { createRandom, type TimestampMs } from '../../src/core/index.js'
import {
  type AgentRef, CallMessageKind, createKeyedCall, createKeyedRuns, onceStream, OwnerMessageKind, RunsMessageKind
} from '../../src/once/index.js'
import { createFakeNetwork } from '../harness/index.js'
import { type AgentProcess, createAgentProcess } from './agentProcess.js'
import { createEntryProcess, type EntryProcess } from './entryProcess.js'
import { createFakeLog } from './fakeLog.js'
import { createFakeProcess, type FakeProcess } from './fakeProcess.js'
import type { CallRecord, RunRecord, ProcessMessage, World, WorldOptions } from './worldTypes.js'

const TICK_MS = 250
const DEADLINE_MS = 8_000
/** Longest time until the host list or a new link tells an entry that an agent's incarnation has ended. */
const AGENT_END_NOTICE_MAX_MS = 3_000

const entryId = (entry: number) => `entry-${entry}`
const agentId = (agent: number) => `agent-${agent}`

/**
 * Simulates entries, agents, upstreams and a log around the cores of `src/once`, in virtual time.
 *
 * @example
 * const world = createWorld({ queue, seed: 1, entries: 3, agents: 3, windowMs: 60_000, network, log, upstream })
 * const call = world.submit({ entry: 0, key, body: 'order 17' })
 * world.run(30_000)
 */
export const createWorld = (options: WorldOptions): World => {
  const { queue, onStep, factories = {}, clockSkewMaxMs = 0 } = options
  const random = createRandom(options.seed)
  const partitionEndMs = new Map<string, TimestampMs>()
  const isPartitioned = (from: string, to: string) => partitionEndMs.size > 0 && (partitionEndMs.get(`${from}/${to}`) ?? 0) > queue.clock.nowMs()
  const network = createFakeNetwork<ProcessMessage>(queue, random, { ...options.network, isPartitioned })
  const log = createFakeLog(queue, random, options.log)
  const calls: CallRecord[] = []
  const callsById = new Map<string, CallRecord>()
  const runs: RunRecord[] = []
  const shards = new Set<number>()
  const ownerViews = Array.from({ length: options.entries }, () => 0)
  let inFlightCount = 0
  let isTicking = false

  const createSkewedClock = () => {
    const skewMs = clockSkewMaxMs === 0 ? 0 : random.int(-clockSkewMaxMs, clockSkewMaxMs)
    return { nowMs: () => queue.clock.nowMs() + skewMs }
  }

  const endCall = (record: CallRecord) => {
    if (record.endedMs !== undefined) return
    record.endedMs = queue.clock.nowMs()
    inFlightCount -= 1
  }

  const createNodeProcess = <Process extends { receive (message: ProcessMessage, from: string): void }>(
    id: string, start: (incarnation: number, runIfCurrent: (task: () => void) => void) => Process
  ): FakeProcess<Process> => {
    const fakeProcess: FakeProcess<Process> = createFakeProcess<Process>(queue, incarnation => {
      const state: Process = start(incarnation, task => fakeProcess.runTask(current => {
        if (current === state) task()
      }))
      return state
    })
    network.join(id, (message, from) => {
      onStep?.()
      fakeProcess.runTask(state => state.receive(message, from))
    })
    return fakeProcess
  }

  const sendFrom = (from: string) => (to: string, message: ProcessMessage) => {
    if (from !== to) network.send(from, to, message)
    // A message from a process to itself bypasses the network.
    else queue.after(0, () => entries[Number(from.slice('entry-'.length))]!.runTask(entry => entry.receive(message, from)))
  }

  const agents: Array<FakeProcess<AgentProcess>> = Array.from({ length: options.agents }, (_, agent) => {
    const clock = createSkewedClock()
    return createNodeProcess(agentId(agent), (incarnation, runIfCurrent) => createAgentProcess({
      incarnation: `${agentId(agent)}.${incarnation}`,
      clock,
      world: options,
      random,
      createRuns: factories.createRuns ?? createKeyedRuns,
      runIfCurrent,
      send: sendFrom(agentId(agent)),
      onRunStarted: run => runs.push(run),
      onVoided: requestId => { callsById.get(requestId)!.voidedMs = queue.clock.nowMs() }
    }))
  })

  /** Membership views lag, so an agent that is down may still be chosen under its last incarnation. */
  const lastKnownAgents: AgentRef[] = agents.map((_, agent) => ({ incarnation: `${agentId(agent)}.0`, address: agentId(agent) }))
  const chooseAgent = (excluded: AgentRef[]): AgentRef | undefined => {
    agents.forEach(({ state }, agent) => {
      if (state !== undefined) lastKnownAgents[agent] = { incarnation: state.incarnation, address: agentId(agent) }
    })
    const candidates = lastKnownAgents.filter(({ incarnation }) => !excluded.some(other => other.incarnation === incarnation))
    return candidates.length === 0 ? undefined : random.pick(candidates)
  }

  const entryClocks = ownerViews.map(createSkewedClock)
  const entries: Array<FakeProcess<EntryProcess>> = ownerViews.map((_, entry) =>
    createNodeProcess(entryId(entry), (_incarnation, runIfCurrent) => createEntryProcess({
      id: entryId(entry),
      clock: entryClocks[entry]!,
      world: options,
      log,
      createCall: factories.createCall ?? createKeyedCall,
      runIfCurrent,
      ownerId: () => entryId(ownerViews[entry]!),
      chooseAgent,
      send: sendFrom(entryId(entry)),
      onEnded: endCall
    })))

  const tick = () => {
    entries.forEach((fakeProcess, entry) => fakeProcess.runTask(process => {
      process.postToOwner({ kind: OwnerMessageKind.Tick })
      // An owner that already has the shard ignores this; after a restart it reads the window from the log.
      if (ownerViews[entry] === entry) {
        for (const shard of shards) process.postToOwner({ kind: OwnerMessageKind.ShardGained, shard })
      }
      process.postToAllCalls({ kind: CallMessageKind.Tick })
    }))
    for (const fakeProcess of agents) fakeProcess.runTask(process => process.handle({ kind: RunsMessageKind.Tick }))
  }

  const startTicks = () => {
    if (isTicking) return
    isTicking = true
    queue.every(options.tickMs ?? TICK_MS, () => {
      tick()
      isTicking = inFlightCount > 0
      return isTicking
    })
  }

  return {
    submit: submitted => {
      const { entry, key, body, deadlineMs = DEADLINE_MS } = submitted
      const requestId = `${entryId(entry)}-${calls.length}`
      const record: CallRecord = {
        requestId, scopedKey: key.scopedKey, body, startedMs: queue.clock.nowMs(), forwardedBody: ''
      }
      calls.push(record)
      callsById.set(requestId, record)
      inFlightCount += 1
      startTicks()
      shards.add(key.shard)
      if (entries[entry]!.state === undefined) endCall(record)
      entries[entry]!.runTask(process => process.submit(submitted, record, deadlineMs))
      ownerViews.forEach((owner, own) => {
        if (owner !== own) return
        entries[own]!.runTask(process => process.postToOwner({ kind: OwnerMessageKind.ShardGained, shard: key.shard }))
      })
      return record
    },
    crashEntry: (entry, restartMs) => {
      // The caller's connection breaks, so the call ends without an outcome.
      for (const call of calls) if (call.requestId.startsWith(`${entryId(entry)}-`)) endCall(call)
      entries[entry]!.crash(restartMs)
    },
    crashAgent: (agent, restartMs) => {
      const incarnation = agents[agent]!.state?.incarnation
      agents[agent]!.crash(restartMs)
      if (incarnation === undefined) return
      for (const fakeProcess of entries) {
        if (random.next() < 0.5) continue
        queue.after(random.next() * AGENT_END_NOTICE_MAX_MS, () => fakeProcess.runTask(process =>
          process.postToAllCalls({ kind: CallMessageKind.AgentGone, incarnation })))
      }
    },
    pauseEntry: (entry, durationMs) => entries[entry]!.pause(durationMs),
    pauseAgent: (agent, durationMs) => agents[agent]!.pause(durationMs),
    setOwnerView: (entry, owner) => {
      const previousOwner = ownerViews[entry]
      if (previousOwner === owner) return
      ownerViews[entry] = owner
      const kind = owner === entry ? OwnerMessageKind.ShardGained : OwnerMessageKind.ShardLost
      const ownsOrOwned = owner === entry || previousOwner === entry
      entries[entry]!.runTask(process => {
        if (ownsOrOwned) for (const shard of shards) process.postToOwner({ kind, shard })
        process.postToAllCalls({ kind: CallMessageKind.OwnerChanged })
      })
    },
    partition: (entry, agent, durationMs, isLossReported) => {
      const untilMs = queue.clock.nowMs() + durationMs
      partitionEndMs.set(`${entryId(entry)}/${agentId(agent)}`, untilMs)
      partitionEndMs.set(`${agentId(agent)}/${entryId(entry)}`, untilMs)
      const incarnation = agents[agent]!.state?.incarnation
      if (!isLossReported || incarnation === undefined) return
      entries[entry]!.runTask(process => process.postToAllCalls({ kind: CallMessageKind.LinkLost, incarnation }))
    },
    callerGone: ({ requestId }) => entries[Number(requestId.split('-')[1])]!.runTask(process =>
      process.postToCall(requestId, { kind: CallMessageKind.CallerGone })),
    run: limitMs => queue.runToEnd(queue.clock.nowMs() + limitMs),
    calls,
    runs,
    records: shard => log.records(onceStream(shard)),
    expireBefore: (shard, offset) => log.expireBefore(onceStream(shard), offset),
    get appendCount () { return log.appendCount }
  }
}
