import { type Clock, type Core, dispatch, hash32, type HandlerTable, type TimestampMs } from '../core/index.js'
import { NodeRole } from '../links/index.js'
import { type HostListEntry, HostState } from '../platform/index.js'
import { ADDRESS_LIFETIME_MS, MemberStatus, SHARD_ADDRESSES_MIN, SHARD_DEMAND_FACTOR } from './constants.js'
import { spreadSeats } from './spreadSeats.js'
import type { MemberRecord } from './types.js'

/** Messages that the directory core handles. */
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
  /** `demandShare`: the customer's share of the fleet's demand, 0 to 1, if known. */
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

/** Why an entry may be left out of answers; the first group with any entry is used. */
enum Fitness {
  Serving = 0,
  /** The host list may be wrong, so such an entry is better than none. */
  HostLeaving = 1,
  Suspect = 2,
  Draining = 3
}

const HASH_RANGE = 2 ** 32
const hostOf = (address: string) => address.slice(0, Math.max(0, address.lastIndexOf(':'))) || address

/**
 * Answers which entries a customer should use: a shuffle-sharded set with a lifetime, spread over the
 * failure domains in proportion to their entries and weighted by free capacity. The set follows
 * rendezvous hashing, so an entry that leaves is replaced and the rest of the set stays.
 *
 * @example
 * const directory = createDirectory({ clock })
 * directory.handle({ kind: DirectoryMessageKind.LookupRequested, lookupId: '1', customer: 'acme' })
 */
export const createDirectory = (
  { clock, lifetimeMs = ADDRESS_LIFETIME_MS, shardAddressesMin = SHARD_ADDRESSES_MIN }: DirectoryOptions
): Core<DirectoryMessage, DirectoryEffect> => {
  const entries = new Map<string, MemberRecord>()
  let leavingHosts = new Set<string>()
  let usable: MemberRecord[] | undefined

  const fitnessOf = ({ status, isDraining, identity }: MemberRecord): Fitness => {
    if (isDraining) return Fitness.Draining
    if (status === MemberStatus.Suspect) return Fitness.Suspect
    return leavingHosts.has(hostOf(identity.address)) ? Fitness.HostLeaving : Fitness.Serving
  }

  const listUsable = (): MemberRecord[] => {
    const all = [...entries.values()]
    const best = Math.min(...all.map(fitnessOf))
    return all.filter(record => fitnessOf(record) === best)
  }

  const chooseShard = (customer: string, demandShare: number): MemberRecord[] => {
    const candidates = (usable ??= listUsable())
    const seats = Math.max(shardAddressesMin, Math.ceil(demandShare * candidates.length * SHARD_DEMAND_FACTOR))
    const domains = [...new Set(candidates.map(({ identity }) => identity.failureDomain))].sort()
    const groups = domains.map(domain => candidates.filter(({ identity }) => identity.failureDomain === domain))
    const counts = spreadSeats(groups.map(({ length }) => length), seats, hash32(customer) / HASH_RANGE)
    return groups.flatMap((group, i) => group
      .map(record => ({ record, rank: hash32(`${customer}/${record.identity.nodeId}`) }))
      .sort((a, b) => b.rank - a.rank || (a.record.identity.nodeId < b.record.identity.nodeId ? -1 : 1))
      .slice(0, counts[i])
      .map(({ record }) => record))
  }

  const weigh = (shard: readonly MemberRecord[]): WeightedAddress[] => {
    // An entry that reports none free keeps a small weight: the report may be old.
    const free = shard.map(({ freeCapacityRequests }) => Math.max(0.5, freeCapacityRequests))
    const total = free.reduce((sum, requests) => sum + requests, 0)
    return shard
      .map(({ identity: { nodeId, address, failureDomain } }, i) =>
        ({ nodeId, address, failureDomain, weight: free[i]! / total }))
      .sort((a, b) => b.weight - a.weight || (a.nodeId < b.nodeId ? -1 : 1))
  }

  const handlers: HandlerTable<DirectoryMessage, DirectoryEffect[]> = {
    [DirectoryMessageKind.MemberUpdated]: ({ record }) => {
      if (record.identity.role !== NodeRole.Entry) return []
      const isLive = record.status === MemberStatus.Alive || record.status === MemberStatus.Suspect
      if (isLive) entries.set(record.identity.nodeId, record)
      else entries.delete(record.identity.nodeId)
      usable = undefined
      return []
    },
    [DirectoryMessageKind.MemberForgotten]: ({ nodeId }) => {
      entries.delete(nodeId)
      usable = undefined
      return []
    },
    [DirectoryMessageKind.HostListRead]: ({ hosts }) => {
      leavingHosts = new Set(hosts.filter(({ state }) => state === HostState.Leaving).map(({ address }) => hostOf(address)))
      usable = undefined
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
