import { createFollowerTask, FollowerMessageKind, type PoolRow, UpstreamKind } from '../../configuration/index.js'
import {
  type Clock, createLog, createTask, dispatch, FrameError, type HandlerTable, type Incarnation, LogUnavailableError,
  type Random, type Task, type TimestampMs
} from '../../core/index.js'
import { type Frame, FrameKind, parseFrame, type PeerIdentity } from '../../links/index.js'
import {
  createLeaseHolder, createLeaseReader, engineStateFrameSchema, type EngineState, type HolderEffect, HolderEffectKind,
  type HolderMessage, HolderMessageKind, LEASE_STREAM, type LeaseDocument, leaseDocumentSchema, LeaseEffectKind,
  LeaseRecordKind, type LeaseMessage, type LeaseOwnEffect, type Placement, planPlacement, type PoolAssignment, toLeasePage
} from '../../orders/index.js'
import type { LogClient } from '../../core/index.js'
import { parsePeerState, parsePeerStateRequest, toPeerState, toPeerStateRequest } from './peerStateFrames.js'

const log = createLog('orders')

const HOLDER_TICK_MS = 500
const PLAN_INTERVAL_MS = 2_000
/** The lease holder polls engines that do not match their placement yet more often than settled ones. */
const STATE_INTERVAL_MS = 30_000
const CHANGING_STATE_INTERVAL_MS = 2_000
/** After this time a new lease holder plans without the agents that have not replied. */
const STATE_WAIT_MS = 10_000

export interface PlacementTaskOptions {
  client: LogClient
  clock: Clock
  random: Random
  incarnation: Incarnation
  retentionMs: number
  pools: () => PoolRow[]
  /** Live agents of a pool in the whole fleet. */
  agents: (pool: string) => PeerIdentity[]
  /** Agents of a pool that this entry is linked to. */
  linkedAgents: (pool: string) => PeerIdentity[]
  sendTo: (address: string, frame: Frame) => void
  sendToPeers: (frame: Frame) => void
  ownAddress: () => string
}

/** Follows the lease stream, sends assignments to linked agents and, while it holds the lease, plans placements. */
export interface PlacementTask {
  /** Sends an agent its assignment and the offset of the lease claim in effect. */
  sendAssignment (peer: PeerIdentity): void
  onEngineState (peer: PeerIdentity, frame: Frame): void
  onFenceQuery (peer: PeerIdentity): void
  onPeerStateRequest (frame: Frame): void
  onPeerState (frame: Frame): void
  readonly isHolder: boolean
  readonly claimOffset: number
  stop (): void
}

/**
 * Creates the placement task of one entry. Any entry may become the lease holder. While the log is
 * unavailable, placements do not change and requests are still served.
 *
 * @example
 * const placement = createPlacementTask({ client, clock, random, incarnation, retentionMs, ... })
 * placement.sendAssignment(peer)
 */
export const createPlacementTask = (options: PlacementTaskOptions): PlacementTask => {
  const { client, clock, random, incarnation, retentionMs, pools, agents, linkedAgents, sendTo, sendToPeers, ownAddress } = options
  const assignments = new Map<string, PoolAssignment>()
  const engineStates = new Map<string, { state: EngineState, incarnation: Incarnation }>()
  const stateRequestedMs = new Map<string, TimestampMs>()
  const pendingFenceQueries = new Map<string, PeerIdentity>()
  let claimOffset = 0
  let isHolder = false
  let holderSinceMs = 0
  let fenceQueryCount = 0

  const placementOf = ({ nodeId, pool }: PeerIdentity): { assignment: PoolAssignment, placement: Placement } | undefined => {
    const assignment = pool === undefined ? undefined : assignments.get(pool)
    const placement = assignment?.placements.find(({ agentId }) => agentId === nodeId)
    return assignment && placement && { assignment, placement }
  }

  const assignmentFor = (peer: PeerIdentity) => {
    const found = placementOf(peer)
    if (found === undefined) return {}
    const { assignment: { claimOffset: token, sequence }, placement: { role, model, version, adapters } } = found
    return { assignment: { token, sequence, desired: { role, model, adapters, ...(version === undefined ? {} : { version }) } } }
  }

  const sendAssignment = (peer: PeerIdentity) => {
    if (claimOffset === 0) return
    sendTo(peer.address, { kind: FrameKind.Assignment, claimOffset, ...assignmentFor(peer) })
  }

  const enginePools = () => pools().filter(({ upstreamKind }) => upstreamKind === UpstreamKind.Engine)
  const sendToLinked = (pool: string) => linkedAgents(pool).forEach(sendAssignment)

  const readerHandlers: { [Kind in LeaseOwnEffect['kind']]: (effect: Extract<LeaseOwnEffect, { kind: Kind }>) => void } = {
    [LeaseEffectKind.ClaimInEffect]: ({ claim }) => {
      claimOffset = claim.offset
      leaseHolder.post({ kind: HolderMessageKind.ClaimInEffect, claim })
      enginePools().forEach(({ name }) => sendToLinked(name))
    },
    [LeaseEffectKind.HolderSeen]: () => { leaseHolder.post({ kind: HolderMessageKind.HolderSeen }) },
    [LeaseEffectKind.AssignmentAccepted]: ({ assignment }) => {
      assignments.set(assignment.pool, assignment)
      leaseHolder.post({ kind: HolderMessageKind.AssignmentAccepted, assignment })
      sendToLinked(assignment.pool)
    },
    [LeaseEffectKind.RecordVoided]: ({ offset, reason }) => log('record %d of the lease stream was rejected: %s', offset, reason)
  }

  const leaseReader: Task<LeaseMessage> = createFollowerTask({
    stream: LEASE_STREAM,
    client,
    core: createLeaseReader({ clock, random, retentionMs }),
    toPage: toLeasePage,
    toSnapshotRecord: snapshot => ({ kind: LeaseRecordKind.Snapshot, snapshot }),
    askPeers: aboveOffset => sendToPeers(toPeerStateRequest(LEASE_STREAM, aboveOffset, ownAddress())),
    sendState: (address, document: LeaseDocument, retainedSinceMs) => sendTo(address, toPeerState(LEASE_STREAM, document, retainedSinceMs)),
    onOwnEffect: effect => (readerHandlers[effect.kind] as (effect: LeaseOwnEffect) => void)(effect),
    onCaughtUp: () => leaseHolder.post({ kind: HolderMessageKind.LogRead }),
    onGapPersists: () => leaseHolder.post({ kind: HolderMessageKind.GapPersists }),
    onEnd: (requestId, isReached) => {
      const peer = pendingFenceQueries.get(requestId)
      pendingFenceQueries.delete(requestId)
      if (peer !== undefined && isReached) sendTo(peer.address, { kind: FrameKind.FenceConfirmed, claimOffset })
    }
  })

  const append = async (record: Extract<HolderEffect, { kind: HolderEffectKind.AppendRecord }>['record']) => {
    try {
      await client.append(LEASE_STREAM, record)
    } catch (error) {
      if (!(error instanceof LogUnavailableError)) throw error
      log('lease record was not appended: %s', error.message)
    }
  }

  const holderPerformers: HandlerTable<HolderEffect, void> = {
    [HolderEffectKind.AppendRecord]: ({ record }) => { append(record) },
    [HolderEffectKind.HoldingChanged]: effect => {
      isHolder = effect.isHolder
      holderSinceMs = clock.nowMs()
      log(isHolder ? 'this entry holds the placement lease' : 'this entry no longer holds the placement lease')
    }
  }

  const leaseHolder: Task<HolderMessage> = createTask({
    name: 'orders', core: createLeaseHolder({ self: incarnation, clock, random }), perform: effect => dispatch(holderPerformers, effect)
  })
  leaseHolder.tickEvery(HOLDER_TICK_MS, () => ({ kind: HolderMessageKind.Tick }))

  const engineStateOf = ({ nodeId, incarnation: run }: PeerIdentity): EngineState | undefined => {
    const known = engineStates.get(nodeId)
    return known?.incarnation === run ? known.state : undefined
  }

  const isSettled = (peer: PeerIdentity): boolean => {
    const running = engineStateOf(peer)
    const wanted = placementOf(peer)?.placement
    return running !== undefined && wanted !== undefined && running.model === wanted.model && running.role === wanted.role &&
      running.version === wanted.version
  }

  const requestState = (peer: PeerIdentity) => {
    const intervalMs = isSettled(peer) ? STATE_INTERVAL_MS : CHANGING_STATE_INTERVAL_MS
    if (clock.nowMs() - (stateRequestedMs.get(peer.nodeId) ?? 0) < intervalMs) return
    stateRequestedMs.set(peer.nodeId, clock.nowMs())
    sendTo(peer.address, { kind: FrameKind.EngineStateRequest })
  }

  const planPool = (pool: PoolRow) => {
    const live = agents(pool.name)
    live.forEach(requestState)
    // An agent whose engine state is unknown cannot be told apart from one that is still changing its engine.
    const known = live.filter(peer => engineStateOf(peer) !== undefined)
    const isWaiting = known.length < live.length && clock.nowMs() - holderSinceMs < STATE_WAIT_MS
    if (known.length === 0 || isWaiting) return
    const placements = planPlacement({
      pool,
      agents: known.map(peer => ({ agentId: peer.nodeId, failureDomain: peer.failureDomain, running: engineStateOf(peer) })),
      current: assignments.get(pool.name)?.placements ?? []
    })
    leaseHolder.post({ kind: HolderMessageKind.PlacementsPlanned, pool: pool.name, placements })
  }

  const plan = () => {
    if (!isHolder) return
    const names = new Set(enginePools().map(({ name }) => name))
    for (const pool of assignments.keys()) if (!names.has(pool)) leaseHolder.post({ kind: HolderMessageKind.PoolRemoved, pool })
    enginePools().forEach(planPool)
  }

  const planTimer = setInterval(plan, PLAN_INTERVAL_MS)
  planTimer.unref()

  return {
    sendAssignment,
    onEngineState: ({ nodeId, incarnation: run }, frame) => {
      engineStates.set(nodeId, { state: parseFrame(engineStateFrameSchema, frame).state, incarnation: run })
    },
    onFenceQuery: peer => {
      const requestId = `fence-${fenceQueryCount++}`
      pendingFenceQueries.set(requestId, peer)
      leaseReader.post({ kind: FollowerMessageKind.EndRequested, requestId })
    },
    onPeerStateRequest: frame => {
      const { replyAddress, aboveOffset } = parsePeerStateRequest(frame)
      leaseReader.post({ kind: FollowerMessageKind.PeerStateRequested, peerId: replyAddress, aboveOffset })
    },
    onPeerState: frame => {
      const { document, retainedSinceMs } = parsePeerState(frame)
      const parsed = leaseDocumentSchema.safeParse(document)
      if (!parsed.success) throw new FrameError('peer state frame does not contain a lease document')
      leaseReader.post({ kind: FollowerMessageKind.PeerStateReceived, document: parsed.data, retainedSinceMs: retainedSinceMs ?? undefined })
    },
    get isHolder () { return isHolder },
    get claimOffset () { return claimOffset },
    stop: () => {
      clearInterval(planTimer)
      leaseHolder.stop()
      leaseReader.stop()
    }
  }
}
