import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { stringify } from 'yaml'
import { createRandom, createManualClock } from '../../src/core/index.js'
import {
  createDatagramCodec, createDirectory, createGossip, type Datagram, DatagramKind, DirectoryMessageKind, GossipEffectKind,
  GossipMessageKind, type MemberRecord, MemberStatus, RumorKind
} from '../../src/membership/index.js'
import { NodeRole, type PeerIdentity } from '../../src/links/index.js'
import { freeAddress, startChild } from '../overhead/childProcess.js'
import { FULL_AGENTS, FULL_ENTRIES } from './sizes.js'

const MEASURED_ENTRIES = 8
const CUSTOMERS = 2_000
const MEBIBYTE = 1_048_576

const collectGarbage = (): void => {
  setFlagsFromString('--expose-gc')
  runInNewContext('gc')()
}

const heapBytes = () => {
  collectGarbage()
  return process.memoryUsage().heapUsed
}

const identityOf = (i: number): PeerIdentity => i < FULL_ENTRIES
  ? { nodeId: `entry-${i}`, incarnation: `${i}`.padStart(16, '0'), role: NodeRole.Entry, address: `10.0.${i >> 8}.${i & 255}:7100`, failureDomain: `domain-${i % 6}` }
  : { nodeId: `agent-${i}`, incarnation: `${i}`.padStart(16, '0'), role: NodeRole.Agent, address: `10.1.${i >> 8}.${i & 255}:7300`, failureDomain: `domain-${i % 6}`, pool: 'quote-model' }

const recordOf = (i: number): MemberRecord => ({
  identity: identityOf(i),
  version: 1_796_000_000,
  status: MemberStatus.Alive,
  isDraining: false,
  freeCapacityRequests: 40,
  loadVersion: 3,
  ...(i < FULL_ENTRIES ? {} : { announcerId: `entry-${i % FULL_ENTRIES}` })
})

/** Heap size of one entry's member state, from decoded datagrams, and directory at full size, in MiB. */
export const measureStateMebibytes = (seed: number): number => {
  const codec = createDatagramCodec([{ keyId: '2026-12', secret: 'bench' }])
  const clock = createManualClock(1_796_000_000_000)
  const total = FULL_ENTRIES + FULL_AGENTS
  const datagrams = Array.from({ length: total - 1 }, (_, i): Buffer => {
    const datagram: Datagram = { kind: DatagramKind.Gossip, fromId: 'entry-1', rumors: [{ kind: RumorKind.Record, record: recordOf(i + 1) }] }
    return codec.encode(datagram)
  })
  const beforeBytes = heapBytes()
  const measuredEntries = Array.from({ length: MEASURED_ENTRIES }, (_, n) => {
    const gossip = createGossip({ self: identityOf(0), freeCapacityRequests: 40, seeds: [], clock, random: createRandom(seed + n) })
    const directory = createDirectory({ clock })
    for (const bytes of datagrams) {
      const datagram = codec.decode(bytes)
      for (const effect of gossip.handle({ kind: GossipMessageKind.DatagramReceived, datagram, sourceAddress: '10.0.0.1:7100' })) {
        if (effect.kind === GossipEffectKind.MemberUpdated) directory.handle({ kind: DirectoryMessageKind.MemberUpdated, record: effect.record })
      }
    }
    for (let c = 0; c < CUSTOMERS; c++) {
      directory.handle({ kind: DirectoryMessageKind.LookupRequested, lookupId: '', customer: `customer-${c}` })
    }
    return { gossip, directory }
  })
  const afterBytes = heapBytes()
  return (afterBytes - beforeBytes) / measuredEntries.length / MEBIBYTE
}

const IDLE_WAIT_MS = 4_000

/** Resident set size of an idle `baobabdrift-entry` process, started from the compiled program, in MiB. */
export const measureEntryMebibytes = async (): Promise<number> => {
  const folder = mkdtempSync(join(tmpdir(), 'baobabdrift-control-'))
  const path = join(folder, 'entry.yaml')
  writeFileSync(path, stringify({
    nodeId: 'entry-1',
    failureDomain: 'domain-1',
    region: 'region-1',
    callerAddress: await freeAddress(),
    linkAddress: await freeAddress(),
    logUrl: `http://${await freeAddress()}`,
    fleetKeys: [{ keyId: 'k1', secret: 'a-secret-for-loopback-only' }]
  }))
  const entry = await startChild('dist/src/programs/entry.js', ['--settings', path])
  await new Promise(resolve => setTimeout(resolve, IDLE_WAIT_MS))
  const mebibytes = entry.residentMebibytes()
  await entry.stop()
  rmSync(folder, { recursive: true })
  return mebibytes
}
