import { type Clock, type Core, dispatch, hash32, type HandlerTable, type TimestampMs } from '../core/index.js'
import { NodeRole } from '../links/index.js'
import { type HostListEntry, HostState } from './hostList.js'
import {
  ADDRESS_LIFETIME_MS, CACHED_SHARDS_MAX, FREE_SMOOTHING_MS, FREE_WEIGHT_EXPONENT, MemberStatus, SHARD_SHARE_ADDRESSES_MAX, SHARD_ADDRESSES_MIN,
  SHARD_DEMAND_FACTOR, SHARD_ENTRY_SHARE
} from './constants.js'
import { mixHash } from './mixHash.js'
import { apportionSeats } from './apportionSeats.js'
import type { MemberRecord } from './types.js'

export enum DirectoryMessageKind {
  MemberUpdated = 'member-updated',
  MemberForgotten = 'member-forgotten',
  HostListRead = 'host-list-read',
  LookupRequested = 'lookup-requested'
}

export type DirectoryMessage =
  | { kind: DirectoryMessageKind.MemberUpdated, record: MemberRecord }
  | { kind: DirectoryMessageKind.MemberForgotten, nodeId: string }
  | { kind: DirectoryMessageKind.HostListRead, hosts: readonly HostListEntry[] }
  /** `demandShare`: the customer's share of the total demand of the fleet, 0 to 1, if known. */
  | { kind: DirectoryMessageKind.LookupRequested, lookupId: string, customer: string, demandShare?: number }

/** Effects that the directory core asks its task to perform. */
export enum DirectoryEffectKind {
  AddressesFound = 'addresses-found'
}

export interface WeightedAddress {
  nodeId: string
  address: string
  failureDomain: string
  /** Share of the customer's requests to send there; the weights of a set add up to 1. */
  weight: number
}

export interface DirectoryEffect {
  kind: DirectoryEffectKind.AddressesFound
  lookupId: string
  customer: string
  /** Highest weight first; empty only if no entry is known. */
  addresses: WeightedAddress[]
  lifetimeMs: number
  expiresMs: TimestampMs
}

export interface DirectoryOptions {
  clock: Clock
  lifetimeMs?: number
  shardAddressesMin?: number
}

/** Preference of entries in lookups; only entries of the lowest tier that has any are returned. */
enum SelectionTier {
  Serving = 0,
  /** The host list may be wrong, so such an entry is still preferred to a suspect or draining one. */
  HostLeaving = 1,
  Suspect = 2,
  Draining = 3
}

/** Entries that lookups may return, by failure domain, with the hash of each node id. */
interface Candidates {
  count: number
  groups: { nodeId: string, hash: number }[][]
  /** Cache of the sets chosen from these entries, by set size and customer. */
  shards: Map<string, string[]>
}

/** Exponentially smoothed free capacity of an entry. */
interface SmoothedFree {
  requests: number
  updatedMs: TimestampMs
}

const HASH_RANGE = 2 ** 32
const hostOf = (address: string) => address.slice(0, Math.max(0, address.lastIndexOf(':'))) || address

/**
 * Looks up the entries that a customer should use: a shuffle-sharded set with a lifetime, spread over
 * the failure domains in proportion to their entries and weighted by free capacity. The set is chosen
 * by rendezvous hashing, so an entry that leaves is replaced and the rest of the set stays.
 *
 * @example
 * const directory = createDirectory({ clock })
 * directory.handle({ kind: DirectoryMessageKind.LookupRequested, lookupId: '1', customer: 'acme' })
 */
export const createDirectory = (
  { clock, lifetimeMs = ADDRESS_LIFETIME_MS, shardAddressesMin = SHARD_ADDRESSES_MIN }: DirectoryOptions
): Core<DirectoryMessage, DirectoryEffect> => {
  const entries = new Map<string, MemberRecord>()
  const smoothed = new Map<string, SmoothedFree>()
  let leavingHosts = new Set<string>()
  let candidates: Candidates | undefined

  const tierOf = ({ status, isDraining, identity }: MemberRecord): SelectionTier => {
    if (isDraining) return SelectionTier.Draining
    if (status === MemberStatus.Suspect) return SelectionTier.Suspect
    return leavingHosts.has(hostOf(identity.address)) ? SelectionTier.HostLeaving : SelectionTier.Serving
  }

  const listCandidates = (): Candidates => {
    const all = [...entries.values()]
    const best = Math.min(...all.map(tierOf))
    const selected = all.filter(record => tierOf(record) === best).map(({ identity }) => identity)
    const domains = [...new Set(selected.map(({ failureDomain }) => failureDomain))].sort()
    return {
      count: selected.length,
      groups: domains.map(domain => selected
        .filter(({ failureDomain }) => failureDomain === domain)
        .map(({ nodeId }) => ({ nodeId, hash: hash32(nodeId) }))),
      shards: new Map()
    }
  }

  const shardSizeOf = (entryCount: number, demandShare: number) => Math.max(
    shardAddressesMin,
    Math.min(SHARD_SHARE_ADDRESSES_MAX, Math.ceil(entryCount * SHARD_ENTRY_SHARE)),
    Math.ceil(demandShare * entryCount * SHARD_DEMAND_FACTOR)
  )

  const chooseShard = (customer: string, demandShare: number): string[] => {
    const { count, groups, shards } = (candidates ??= listCandidates())
    const size = shardSizeOf(count, demandShare)
    const key = `${size}/${customer}`
    const known = shards.get(key)
    if (known !== undefined) return known
    const customerHash = hash32(customer)
    const counts = apportionSeats(groups.map(({ length }) => length), size, customerHash / HASH_RANGE)
    const shard = groups.flatMap((group, i) => group
      .map(({ nodeId, hash }) => ({ nodeId, rank: mixHash(customerHash, hash) }))
      .sort((a, b) => b.rank - a.rank || (a.nodeId < b.nodeId ? -1 : 1))
      .slice(0, counts[i])
      .map(({ nodeId }) => nodeId))
    if (shards.size >= CACHED_SHARDS_MAX) shards.clear()
    shards.set(key, shard)
    return shard
  }

  const smoothFree = (nodeId: string, announcedRequests: number): number => {
    const nowMs = clock.nowMs()
    const known = smoothed.get(nodeId) ?? { requests: announcedRequests, updatedMs: nowMs }
    const gain = 1 - Math.exp(-(nowMs - known.updatedMs) / FREE_SMOOTHING_MS)
    const requests = known.requests + gain * (announcedRequests - known.requests)
    smoothed.set(nodeId, { requests, updatedMs: nowMs })
    return requests
  }

  const weigh = (shard: readonly string[]): WeightedAddress[] => {
    const records = shard.map(nodeId => entries.get(nodeId)!)
    // An entry that reports no free capacity keeps a small weight, because the report may be outdated.
    const free = records.map(record =>
      Math.max(0.5, smoothFree(record.identity.nodeId, record.freeCapacityRequests)) ** FREE_WEIGHT_EXPONENT)
    const total = free.reduce((sum, requests) => sum + requests, 0)
    return records
      .map(({ identity: { nodeId, address, failureDomain } }, i) =>
        ({ nodeId, address, failureDomain, weight: free[i]! / total }))
      .sort((a, b) => b.weight - a.weight || (a.nodeId < b.nodeId ? -1 : 1))
  }

  const remove = (nodeId: string) => {
    entries.delete(nodeId)
    smoothed.delete(nodeId)
    candidates = undefined
  }

  const store = (record: MemberRecord) => {
    const { nodeId, address, failureDomain, incarnation } = record.identity
    const previous = entries.get(nodeId)
    entries.set(nodeId, record)
    if (previous?.identity.incarnation !== incarnation) smoothed.delete(nodeId)
    const isSameLocation = previous?.identity.address === address && previous.identity.failureDomain === failureDomain
    if (previous === undefined || !isSameLocation || tierOf(previous) !== tierOf(record)) candidates = undefined
  }

  const handlers: HandlerTable<DirectoryMessage, DirectoryEffect[]> = {
    [DirectoryMessageKind.MemberUpdated]: ({ record }) => {
      if (record.identity.role !== NodeRole.Entry) return []
      const isLive = record.status === MemberStatus.Alive || record.status === MemberStatus.Suspect
      if (isLive) store(record)
      else remove(record.identity.nodeId)
      return []
    },
    [DirectoryMessageKind.MemberForgotten]: ({ nodeId }) => {
      remove(nodeId)
      return []
    },
    [DirectoryMessageKind.HostListRead]: ({ hosts }) => {
      leavingHosts = new Set(hosts.filter(({ state }) => state === HostState.Leaving).map(({ address }) => hostOf(address)))
      candidates = undefined
      return []
    },
    [DirectoryMessageKind.LookupRequested]: ({ lookupId, customer, demandShare = 0 }) => [{
      kind: DirectoryEffectKind.AddressesFound,
      lookupId,
      customer,
      addresses: entries.size === 0 ? [] : weigh(chooseShard(customer, demandShare)),
      lifetimeMs,
      expiresMs: clock.nowMs() + lifetimeMs
    }]
  }

  return { handle: message => dispatch(handlers, message) }
}
