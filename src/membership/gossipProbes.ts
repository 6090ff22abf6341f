import { NodeRole } from '../links/index.js'
import {
  DatagramKind, GOSSIP_TICK_MS, ISOLATION_FAILED_PROBES, ISOLATION_TARGET_FAILURES, LOAD_FLUSH_INTERVAL_MS,
  MemberStatus, PROBE_HELPERS, PROBE_INTERVAL_MS, PROBE_RETRY_MS, PROBE_ROUNDS, REJOIN_INTERVAL_MS, RELAY_LIFETIME_MS,
  RELAYS_MAX, RumorKind
} from './constants.js'
import { buildMemberRumor, type GossipContext } from './gossipContext.js'
import { type GossipMembers, rumorsAboutSender } from './gossipMembers.js'
import type { GossipSync } from './gossipSync.js'
import { isDeadOrLeft, type TableRow } from './memberTable.js'
import type { Datagram, Rumor } from './types.js'

interface Probe {
  targetId: string
  address: string
  sequence: number
  startedMs: number
  round: number
}

/** A ping on behalf of another entry; its acknowledgement is forwarded to that entry. */
interface Relay {
  address: string
  sequence: number
  expiresMs: number
}

type DatagramOf<Kind extends DatagramKind> = Extract<Datagram, { kind: Kind }>

/** Failure detection by probes, sending of queued rumors, and attempts to rejoin dead members. */
export interface GossipProbes {
  tick (): void
  /** Cancels the probe in flight; after a process pause a missing acknowledgement proves no failure. */
  reset (): void
  onPing (ping: DatagramOf<DatagramKind.Ping>, sourceAddress: string): void
  onAck (ack: DatagramOf<DatagramKind.Ack>): void
  onPingRequest (request: DatagramOf<DatagramKind.PingRequest>, sourceAddress: string): void
}

/** Creates the probe handlers of one gossip core. */
export const createGossipProbes = (context: GossipContext, members: GossipMembers, sync: GossipSync): GossipProbes => {
  const { clock, random, table, queue, selfId, seeds } = context
  const relays = new Map<number, Relay>()
  const failuresById = new Map<string, number>()
  let probe: Probe | undefined
  let probeOrder: TableRow[] = []
  let consecutiveFailures = 0
  let sequence = 0
  // Random phases keep the entries of a fleet that starts at once from sending simultaneously.
  let nextProbeMs = clock.nowMs() + random.int(0, PROBE_INTERVAL_MS)
  let nextLoadFlushMs = clock.nowMs() + random.int(0, LOAD_FLUSH_INTERVAL_MS)
  let nextRejoinMs = clock.nowMs() + random.int(0, PROBE_INTERVAL_MS)

  const selfRumor = () => buildMemberRumor(table, RumorKind.Record, selfId) as Rumor
  const ping = (address: string, pingSequence: number, leading: Rumor[] = []) =>
    context.send(address, { kind: DatagramKind.Ping, sequence: pingSequence }, [selfRumor(), ...leading])

  /** Visits every peer once in random order, so that the time until a peer is probed is bounded. */
  const nextTarget = (): TableRow | undefined => {
    if (probeOrder.length === 0) probeOrder = random.shuffle(context.peers())
    for (let row = probeOrder.pop(); row !== undefined; row = probeOrder.pop()) {
      if (!isDeadOrLeft(row.record.status)) return row
    }
    return undefined
  }

  const startProbe = () => {
    const target = nextTarget()
    if (target === undefined) return
    const { nodeId, address } = target.record.identity
    probe = { targetId: nodeId, address, sequence: sequence++, startedMs: clock.nowMs(), round: 1 }
    // A suspect is informed directly, so that it can refute in time.
    ping(address, probe.sequence, rumorsAboutSender(context, nodeId))
  }

  const retryProbe = ({ targetId, address, sequence: probeSequence }: Probe) => {
    ping(address, probeSequence, rumorsAboutSender(context, targetId))
    for (const { record } of context.pickPeers(PROBE_HELPERS, targetId)) {
      context.send(record.identity.address, { kind: DatagramKind.PingRequest, sequence: probeSequence, targetAddress: address })
    }
  }

  const suspect = (targetId: string) => {
    const record = table.get(targetId)?.record
    if (record?.status !== MemberStatus.Alive) return
    members.apply({ ...record, status: MemberStatus.Suspect })
    context.send(record.identity.address, { kind: DatagramKind.Gossip }, rumorsAboutSender(context, targetId))
  }

  const failProbe = ({ targetId }: Probe) => {
    const targetFailures = (failuresById.get(targetId) ?? 0) + 1
    failuresById.set(targetId, targetFailures)
    consecutiveFailures += 1
    const isIsolated = consecutiveFailures >= ISOLATION_FAILED_PROBES
    if (!isIsolated || targetFailures >= ISOLATION_TARGET_FAILURES) suspect(targetId)
  }

  const advanceProbe = () => {
    if (probe === undefined || probe.round >= PROBE_ROUNDS) return
    if (clock.nowMs() - probe.startedMs < PROBE_RETRY_MS * probe.round) return
    probe.round += 1
    retryProbe(probe)
  }

  /** Dead members and seeds that are not members; contacting them reunites the two sides of a partition. */
  const rejoinAddresses = (): string[] => {
    const rows = [...table.values()].filter(({ record }) => record.identity.role === NodeRole.Entry)
    const deadAddresses = rows.filter(({ record }) => record.status === MemberStatus.Dead)
      .map(({ record }) => record.identity.address)
    const knownAddresses = new Set(rows.map(({ record }) => record.identity.address))
    return [...deadAddresses, ...seeds.filter(address => !knownAddresses.has(address))]
  }

  const rejoin = () => {
    const isAlone = context.peers().length === 0
    nextRejoinMs = clock.nowMs() + (isAlone ? PROBE_INTERVAL_MS : REJOIN_INTERVAL_MS)
    const addresses = rejoinAddresses()
    if (addresses.length > 0) sync.requestFrom(random.pick(addresses))
  }

  const flush = () => {
    const nowMs = clock.nowMs()
    const isLoadDue = queue.size > 0 && nowMs >= nextLoadFlushMs
    if (queue.urgentCount === 0 && !isLoadDue) return
    if (context.availableBytes() <= 0) return
    nextLoadFlushMs = nowMs + LOAD_FLUSH_INTERVAL_MS
    for (const { record } of context.pickPeers(1)) context.send(record.identity.address, { kind: DatagramKind.Gossip })
  }

  const tick = () => {
    const nowMs = clock.nowMs()
    for (const [relaySequence, { expiresMs }] of relays) if (expiresMs <= nowMs) relays.delete(relaySequence)
    advanceProbe()
    if (nowMs >= nextProbeMs) {
      nextProbeMs = Math.max(nextProbeMs + PROBE_INTERVAL_MS, nowMs + PROBE_INTERVAL_MS - GOSSIP_TICK_MS)
      if (probe !== undefined) failProbe(probe)
      probe = undefined
      startProbe()
    }
    if (nowMs >= nextRejoinMs) rejoin()
    flush()
  }

  const onAck = (ack: DatagramOf<DatagramKind.Ack>) => {
    const relay = relays.get(ack.sequence)
    if (relay !== undefined) {
      relays.delete(ack.sequence)
      context.send(relay.address, { kind: DatagramKind.Ack, sequence: relay.sequence })
    }
    if (probe?.sequence !== ack.sequence) return
    failuresById.delete(probe.targetId)
    probe = undefined
    consecutiveFailures = 0
  }

  return {
    tick,
    reset: () => {
      probe = undefined
      consecutiveFailures = 0
    },
    onPing: ({ fromId, sequence: pingSequence }, sourceAddress) =>
      context.send(sourceAddress, { kind: DatagramKind.Ack, sequence: pingSequence }, rumorsAboutSender(context, fromId)),
    onAck,
    onPingRequest: ({ sequence: requestSequence, targetAddress }, sourceAddress) => {
      if (relays.size >= RELAYS_MAX) return
      const relaySequence = sequence++
      relays.set(relaySequence, {
        address: sourceAddress, sequence: requestSequence, expiresMs: clock.nowMs() + RELAY_LIFETIME_MS
      })
      ping(targetAddress, relaySequence)
    }
  }
}
