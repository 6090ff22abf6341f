import { describe, expect, it } from 'vitest'
import { createManualClock, createRandom, ResultCode } from '../core/index.js'
import { NodeRole, type PeerIdentity } from '../links/index.js'
import {
  BROADCAST_PAYLOAD_BYTES_MAX, BroadcastTopic, DATAGRAM_BYTES_MAX, DatagramKind, GOSSIP_TICK_MS, MemberStatus, RESTART_GRACE_MS, RumorKind, SUSPICION_MS
} from './constants.js'
import { createGossip } from './createGossip.js'
import { createDatagramCodec } from './datagramCodec.js'
import { type GossipEffect, GossipEffectKind, GossipMessageKind, type MemberRecord } from './types.js'

const identityOf = (nodeId: string, change: Partial<PeerIdentity> = {}): PeerIdentity =>
  ({ nodeId, incarnation: `${nodeId}-run-1`, role: NodeRole.Entry, address: '10.0.0.1:7100', failureDomain: 'tema-a', ...change })
const recordOf = (identity: PeerIdentity, version: number, status = MemberStatus.Alive): MemberRecord =>
  ({ identity, version, status, isDraining: false, freeCapacityRequests: 1, loadVersion: 0 })

const setUp = () => {
  const clock = createManualClock(1_000_000)
  const core = createGossip({ self: identityOf('entry-a'), freeCapacityRequests: 10, seeds: [], clock, random: createRandom(1) })
  const receive = (record: MemberRecord, fromId = 'entry-b') => core.handle({
    kind: GossipMessageKind.DatagramReceived,
    datagram: { kind: DatagramKind.Gossip, fromId, rumors: [{ kind: RumorKind.Record, record }] },
    sourceAddress: '10.0.0.2:7100'
  })
  // The first message also emits the record of the process itself.
  core.handle({ kind: GossipMessageKind.Tick })
  const tick = () => {
    clock.advance(GOSSIP_TICK_MS)
    return core.handle({ kind: GossipMessageKind.Tick })
  }
  return { clock, core, receive, tick }
}
const recordsOf = (effects: GossipEffect[]) =>
  effects.flatMap(effect => effect.kind === GossipEffectKind.MemberUpdated ? [effect.record] : [])

describe('gossip core', () => {
  it('refutes a suspicion of itself with a higher version', () => {
    const { receive } = setUp()
    receive(recordOf(identityOf('entry-b'), 1))
    const [own] = recordsOf(receive(recordOf(identityOf('entry-a'), 5_000, MemberStatus.Suspect)))
    expect(own).toMatchObject({ version: 5_001, status: MemberStatus.Alive })
  })

  // Guards against a node that receives nothing and therefore suspects the whole fleet.
  it('ignores suspicions from a member that is itself considered dead', () => {
    const { receive } = setUp()
    receive(recordOf(identityOf('entry-b'), 1))
    receive(recordOf(identityOf('entry-c'), 1), 'entry-b')
    receive(recordOf(identityOf('entry-b'), 1, MemberStatus.Dead), 'entry-c')
    expect(receive(recordOf(identityOf('entry-c'), 1, MemberStatus.Suspect), 'entry-b').filter(({ kind }) => kind === GossipEffectKind.MemberUpdated)).toEqual([])
  })

  // Guards against an entry that resumes after a process pause and removes members whose refutations it missed.
  it('does not let suspicions expire during a process pause', () => {
    const { clock, receive, tick } = setUp()
    receive(recordOf(identityOf('entry-b'), 1))
    receive(recordOf(identityOf('entry-c'), 1, MemberStatus.Suspect))
    clock.advance(60_000)
    const isRemoved = (effects: GossipEffect[]) =>
      recordsOf(effects).some(({ identity, status }) => identity.nodeId === 'entry-c' && status === MemberStatus.Dead)
    expect(isRemoved(tick())).toBe(false)
    const later = Array.from({ length: SUSPICION_MS / GOSSIP_TICK_MS }, tick)
    expect(isRemoved(later.flat())).toBe(true)
  })

  // Guards against the removal of a live member by an entry that the refutation did not reach.
  it('asks peers about a suspicion before it expires, and replies with the refutation', () => {
    const { core, receive, tick } = setUp()
    receive(recordOf(identityOf('entry-b'), 1))
    receive(recordOf(identityOf('entry-c'), 1, MemberStatus.Suspect))
    // Pings also inform a suspect of its own status; those are not refutation requests.
    const rumorsAbout = (effects: GossipEffect[]) => effects.flatMap(effect => effect.kind === GossipEffectKind.SendDatagram &&
      effect.datagram.kind === DatagramKind.Gossip
      ? effect.datagram.rumors.filter(rumor => rumor.kind === RumorKind.Status && rumor.nodeId === 'entry-c')
      : [])
    const early = Array.from({ length: SUSPICION_MS / 2 / GOSSIP_TICK_MS - 1 }, tick)
    expect(rumorsAbout(early.slice(-2).flat())).toEqual([])
    const [suspicion] = rumorsAbout(tick())
    expect(suspicion).toMatchObject({ status: MemberStatus.Suspect, version: 1 })

    receive(recordOf(identityOf('entry-c'), 2))
    receive(recordOf(identityOf('entry-b'), 2))
    const answer = core.handle({
      kind: GossipMessageKind.DatagramReceived,
      datagram: { kind: DatagramKind.Gossip, fromId: 'entry-c', rumors: [suspicion!] },
      sourceAddress: '10.0.0.3:7100'
    })
    expect(rumorsAbout(answer)).toContainEqual(expect.objectContaining({ version: 2, status: MemberStatus.Alive }))
  })

  // Guards against two runs with the same node id that refute each other forever.
  it.each([[0, false], [RESTART_GRACE_MS, true]])('receives a record of another run of its node id %i ms after its start', (ageMs, isSuperseded) => {
    const { clock, core, receive } = setUp()
    clock.advance(ageMs)
    const effects = receive(recordOf(identityOf('entry-a', { incarnation: 'other' }), 9_000))
    expect(effects.some(({ kind }) => kind === GossipEffectKind.Superseded)).toBe(isSuperseded)
    expect(core.handle({ kind: GossipMessageKind.DrainStarted }).length > 0).toBe(!isSuperseded)
  })

  it('never sends a datagram above the size limit, however many updates are queued', () => {
    const { core, receive, tick } = setUp()
    const codec = createDatagramCodec([{ keyId: 'k'.repeat(64), secret: 's' }])
    for (let i = 0; i < 300; i++) receive(recordOf(identityOf(`entry-${i}`, { failureDomain: 'f'.repeat(i % 200 + 1) }), 1), 'entry-0')
    const sizes: number[] = []
    const collect = (effects: GossipEffect[]) => effects.forEach(effect => {
      if (effect.kind === GossipEffectKind.SendDatagram) sizes.push(codec.encode(effect.datagram).length)
    })
    for (let i = 0; i < 200; i++) collect(tick())
    for (let i = 0; i < 20; i++) {
      collect(core.handle({
        kind: GossipMessageKind.DatagramReceived,
        datagram: { kind: DatagramKind.SyncRequest, fromId: 'entry-0', rumors: [], digest: new Uint8Array(260), fromBucket: i, listedBuckets: 0, rowHashes: new Uint8Array(0) },
        sourceAddress: '10.0.0.2:7100'
      }))
    }
    expect(sizes.length).toBeGreaterThan(100)
    expect(Math.max(...sizes)).toBeLessThanOrEqual(DATAGRAM_BYTES_MAX)
  })

  it.each([
    ['a payload that is too large', { payload: new Uint8Array(BROADCAST_PAYLOAD_BYTES_MAX + 1) }, ResultCode.RequestTooLarge],
    ['an empty id', { id: '' }, ResultCode.BadRequest]
  ])('refuses a broadcast with %s', (_case, change, code) => {
    const { clock, core } = setUp()
    const broadcast = { topic: BroadcastTopic.Suspect, id: 'a', payload: new Uint8Array(1), expiresMs: clock.nowMs() + 1_000, ...change }
    expect(core.handle({ kind: GossipMessageKind.BroadcastRequested, broadcast })[0]).toMatchObject({ kind: GossipEffectKind.BroadcastRefused, code })
  })

  it('refuses identities that are too long for a datagram', () => {
    const identity = identityOf('x'.repeat(256), { address: 'y'.repeat(256), failureDomain: 'z'.repeat(256) })
    expect(() => createGossip({ self: identity, freeCapacityRequests: 1, seeds: [], clock: createManualClock(), random: createRandom(1) })).toThrow('identity')
    const effects = setUp().core.handle({
      kind: GossipMessageKind.AgentLinked, identity: { ...identity, role: NodeRole.Agent }, isDraining: false, freeCapacityRequests: 0
    })
    expect(effects.map(({ kind }) => kind)).toEqual([GossipEffectKind.AgentRefused])
  })
})
