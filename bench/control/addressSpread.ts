import { createManualClock, ownerByRendezvous } from '../../src/core/index.js'
import { NodeRole } from '../../src/links/index.js'
import {
  createDirectory, DirectoryMessageKind, LOAD_ANNOUNCE_INTERVAL_MS, LOAD_CHANGE_MIN, type MemberRecord, MemberStatus
} from '../../src/membership/index.js'
import { mean } from '../harness/index.js'

const ENTRIES = 340
const CUSTOMERS = 2_000
const DOMAINS = 6
const BASELINE_ADDRESSES = 8
const STEP_MS = 10_000
/** A customer's callers fetch addresses again after their lifetime of 30 s, a third of them per step. */
const STEPS_PER_LIFETIME = 3
const LARGE_CUSTOMERS = 50
const STEPS = 60
const MEASURED_STEPS = 15
const MEAN_LOAD_REQUESTS = 94
/** Load of the fleet as a share of its capacity. */
const UTILIZATION = 0.6

const maxOverMean = (loads: readonly number[]) => Math.max(...loads) / mean(loads)

/** Demand shares fall with the customer's rank; the largest customer sends 12% of all requests. */
const customerDemands = () => {
  const weights = Array.from({ length: CUSTOMERS }, (_, rank) => 1 / (rank + 1))
  const total = weights.reduce((sum, weight) => sum + weight, 0)
  return weights.map(weight => weight / total)
}

/** Baseline: each customer uses a fixed number of addresses with equal shares, chosen by rendezvous hashing. */
const measureBaseline = (shares: readonly number[], names: readonly string[]) => {
  const nodeIds = Array.from({ length: ENTRIES }, (_, i) => `entry-${i}`)
  const loads = new Map(nodeIds.map(nodeId => [nodeId, 0]))
  shares.forEach((share, customer) => {
    for (let i = 0; i < BASELINE_ADDRESSES; i++) {
      const nodeId = ownerByRendezvous(`${names[customer]}/${i}`, nodeIds)!
      loads.set(nodeId, loads.get(nodeId)! + share / BASELINE_ADDRESSES)
    }
  })
  return maxOverMean([...loads.values()])
}

/**
 * Spreads the demand of all customers over the addresses that the directory returns, while entries announce
 * their free capacity with the hysteresis and interval of gossip. Returns the highest ratio of maximum to mean
 * load in the last steps, and that of the baseline.
 */
export const measureAddressSpread = (seed: number): { value: number, baseline: number } => {
  const clock = createManualClock()
  const directory = createDirectory({ clock })
  const shares = customerDemands()
  const names = shares.map((_, rank) => `customer-${seed}-${rank}`)
  const capacity = MEAN_LOAD_REQUESTS / UTILIZATION
  const records: MemberRecord[] = Array.from({ length: ENTRIES }, (_, i) => ({
    identity: {
      nodeId: `entry-${i}`, incarnation: 'a', role: NodeRole.Entry, address: `10.0.${i >> 8}.${i & 255}:7100`, failureDomain: `domain-${i % DOMAINS}`
    },
    version: 1,
    status: MemberStatus.Alive,
    isDraining: false,
    freeCapacityRequests: Math.round(capacity),
    loadVersion: 0
  }))
  const lastAnnouncedMs = records.map((_, i) => -(i % 20) * 1_000)
  const indexOf = new Map(records.map(({ identity }, i) => [identity.nodeId, i]))
  records.forEach(record => directory.handle({ kind: DirectoryMessageKind.MemberUpdated, record }))

  const lookUp = (customer: number) => directory.handle({
    kind: DirectoryMessageKind.LookupRequested, lookupId: '', customer: names[customer]!, demandShare: shares[customer]!
  })[0]!.addresses.map(({ nodeId, weight }) => ({ index: indexOf.get(nodeId)!, weight }))

  const announce = (loads: readonly number[]) => records.forEach((record, i) => {
    const free = Math.max(0, Math.round(capacity - loads[i]!))
    const known = record.freeCapacityRequests
    const isSmall = Math.abs(free - known) / Math.max(1, known) < LOAD_CHANGE_MIN
    if (isSmall || clock.nowMs() - lastAnnouncedMs[i]! < LOAD_ANNOUNCE_INTERVAL_MS) return
    lastAnnouncedMs[i] = clock.nowMs()
    records[i] = { ...record, freeCapacityRequests: free }
    directory.handle({ kind: DirectoryMessageKind.MemberUpdated, record: records[i]! })
  })

  const addressSets = shares.map((_, customer) => Array.from({ length: STEPS_PER_LIFETIME }, () => lookUp(customer)))
  const lastRatios: number[] = []
  for (let step = 0; step < STEPS; step++) {
    clock.advance(STEP_MS)
    const loads = new Array<number>(ENTRIES).fill(0)
    addressSets.forEach((sets, customer) => {
      // A small customer has so few callers that they all fetch in the same step.
      if (customer < LARGE_CUSTOMERS) sets[step % STEPS_PER_LIFETIME] = lookUp(customer)
      else if (customer % STEPS_PER_LIFETIME === step % STEPS_PER_LIFETIME) sets.fill(lookUp(customer))
      const demandPerSet = shares[customer]! * MEAN_LOAD_REQUESTS * ENTRIES / STEPS_PER_LIFETIME
      for (const set of sets) for (const { index, weight } of set) loads[index]! += demandPerSet * weight
    })
    if (step >= STEPS - MEASURED_STEPS) lastRatios.push(maxOverMean(loads))
    announce(loads)
  }
  return { value: Math.max(...lastRatios), baseline: measureBaseline(shares, names) }
}
