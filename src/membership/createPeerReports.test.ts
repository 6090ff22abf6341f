import { beforeEach, describe, expect, it } from 'vitest'
import { createManualClock, createRandom, type ManualClock } from '../core/index.js'
import { createPeerReports, type PeerReports } from './createPeerReports.js'
import {
  PEER_HEARTBEAT_MS, PEER_LIST_INTERVAL_MS, type PeerEffect, PeerEffectKind, PeerMessageKind, type PeerReport, PEER_SILENCE_MS, SelfChange
} from './peerTypes.js'

const report = (nodeId: string, sequence: number, overrides: Partial<PeerReport> = {}): PeerReport => ({
  nodeId,
  incarnation: `${nodeId}-1`,
  sequence,
  zone: 'a',
  frontAddress: `${nodeId}:80`,
  isReady: true,
  configurationVersion: 1,
  storeOffsets: {},
  running: { w1: 2 },
  pauses: {},
  crashes: {},
  paces: {},
  ...overrides
})

describe('reports among entries', () => {
  let clock: ManualClock
  let peers: PeerReports

  beforeEach(() => {
    clock = createManualClock(10_000)
    const { sequence: _sequence, ...self } = report('self', 0)
    peers = createPeerReports({ clock, random: createRandom(1), ownAddress: 'self:1', seeds: ['seed:1', 'self:1'], describeSelf: () => self })
  })

  const receive = (received: PeerReport, fromAddress = `${received.nodeId}:1`) =>
    peers.handle({ kind: PeerMessageKind.ReportReceived, report: received, fromAddress })
  const tickAfter = (durationMs: number) => {
    clock.advance(durationMs)
    return peers.handle({ kind: PeerMessageKind.Tick })
  }
  const addressesOf = (effects: readonly PeerEffect[]) =>
    effects.flatMap(effect => effect.kind === PeerEffectKind.SendReport ? [...effect.addresses] : [])

  it('sends a report to the seeds at once, and never to itself', () => {
    expect(addressesOf(tickAfter(0))).toEqual(['seed:1'])
  })

  it('sends a report to a new peer and to the peers that it lists', () => {
    expect(addressesOf(receive(report('p', 1, { peerAddresses: ['q:1', 'self:1'] })))).toEqual(['p:1', 'q:1'])
  })

  it('forwards the slowdown that an agent reports for its worker', () => {
    expect(peers.handle({ kind: PeerMessageKind.SlowdownReceived, notice: { workerId: 'w', pace: 3 } })).toEqual([
      { kind: PeerEffectKind.SlowdownReported, workerId: 'w', pace: 3 }
    ])
  })

  it('counts the requests of live peers at a worker, without those of a lost peer', () => {
    receive(report('p', 1))
    receive(report('q', 1, { running: { w1: 1, w2: 4 } }))
    expect(peers.runningAt('w1')).toBe(3)
    clock.advance(PEER_SILENCE_MS / 2)
    receive(report('q', 2, { running: { w1: 1 } }))
    expect(tickAfter(PEER_SILENCE_MS / 2 + 1)).toContainEqual({ kind: PeerEffectKind.PeerLost, nodeId: 'p', address: 'p:1' })
    expect(peers.runningAt('w1')).toBe(1)
  })

  // Guards against datagrams that arrive out of order.
  it('ignores older reports and reports of an ended run', () => {
    receive(report('p', 5))
    expect(receive(report('p', 4, { running: { w1: 9 } }))).toEqual([])
    receive(report('p', 1, { incarnation: 'p-2', running: {} }))
    expect(receive(report('p', 6, { running: { w1: 9 } }))).toEqual([])
    expect(peers.runningAt('w1')).toBe(0)
  })

  it('merges a short report only into a full one of the same run', () => {
    const load = { incarnation: 'p-1', sequence: 2, running: { w1: 7 }, pauses: {} }
    expect(peers.handle({ kind: PeerMessageKind.LoadReceived, load, fromAddress: 'p:1' })).toEqual([])
    receive(report('p', 1))
    peers.handle({ kind: PeerMessageKind.LoadReceived, load, fromAddress: 'p:1' })
    expect(peers.runningAt('w1')).toBe(7)
    expect(peers.alive()[0]?.frontAddress).toBe('p:80')
  })

  it('reports a sent request at the next tick, and an ended request after a delay', () => {
    tickAfter(0)
    receive(report('p', 1))
    peers.handle({ kind: PeerMessageKind.SelfChanged, change: SelfChange.LoadRose })
    expect(addressesOf(tickAfter(40))).toEqual(['p:1'])
    peers.handle({ kind: PeerMessageKind.SelfChanged, change: SelfChange.LoadFell })
    expect(addressesOf(tickAfter(40))).toEqual([])
    expect(addressesOf(tickAfter(160))).toEqual(['p:1'])
  })

  it('sends heartbeats without changes, and reports periodically to silent peers too', () => {
    tickAfter(0)
    receive(report('p', 1))
    expect(addressesOf(tickAfter(PEER_HEARTBEAT_MS))).toEqual(['p:1'])
    expect(addressesOf(tickAfter(PEER_LIST_INTERVAL_MS)).sort()).toEqual(['p:1', 'seed:1'])
  })

  it('loses no peers because of its own process pause', () => {
    receive(report('p', 1))
    clock.advance(PEER_SILENCE_MS * 3)
    peers.handle({ kind: PeerMessageKind.ProcessResumed })
    expect(peers.handle({ kind: PeerMessageKind.Tick }).some(({ kind }) => kind === PeerEffectKind.PeerLost)).toBe(false)
  })
})
