import { type Clock, type Random, rankByRendezvous, type TimestampMs } from '../../core/index.js'
import { type FeedClient, type RecordSource, SourceKind } from '../../storeFeed/index.js'

/** Interval of searches while no entry is known. */
export const SEARCH_INTERVAL_MS = 300
/** Interval at which a known list of entries is renewed. */
export const RENEW_INTERVAL_MS = 10_000
/** If no entry was found this long after the start, the agent reads from the store itself. */
export const STORE_FALLBACK_MS = 3_000
/** Spreads the calls of all agents to the store. */
export const STORE_FALLBACK_JITTER_MS = 2_000
const FETCH_TIMEOUT_MS = 600

export interface EntryLocatorOptions {
  clock: Clock
  random: Random
  /** Chooses the entry among those of the zone, so that agents spread over all of them. */
  ownId: string
  zone: string
  /** `ip:port` of a few entries of any zone; may be out of date. */
  seeds: readonly string[]
  feed: Pick<FeedClient, 'fetchEntries'>
  onFault: (reason: string) => void
}

/** Finds the entry of the own zone from which an agent gets the store's records. */
export interface EntryLocator {
  /** Undefined while no entry has been found yet; the store itself if none can be found. */
  source (): RecordSource | undefined
  /** Ready entries of the own zone, as last listed. */
  zoneEntries (): readonly string[]
  /** The entry did not respond; another one is used. */
  recordFailure (address: string): void
  /** Renews the list when it is due; expected every few hundred ms. */
  tick (): void
}

/**
 * Creates the locator of one agent.
 *
 * @example
 * const locator = createEntryLocator({ clock, random, ownId, zone, seeds, feed, onFault })
 * locator.tick()
 */
export const createEntryLocator = ({ clock, random, ownId, zone, seeds, feed, onFault }: EntryLocatorOptions): EntryLocator => {
  const fallbackAtMs = seeds.length === 0 ? clock.nowMs() : clock.nowMs() + STORE_FALLBACK_MS + random.int(0, STORE_FALLBACK_JITTER_MS)
  let listed: readonly string[] = []
  let addresses: readonly string[] = []
  let nextFetchMs: TimestampMs = clock.nowMs()
  let isFetching = false

  const fetchFrom = async (address: string) => {
    isFetching = true
    try {
      const entries = await feed.fetchEntries(address, zone, FETCH_TIMEOUT_MS)
      listed = entries.map(entry => entry.address)
      addresses = rankByRendezvous(`feed/${ownId}`, listed)
      if (addresses.length > 0) nextFetchMs = clock.nowMs() + RENEW_INTERVAL_MS
    } catch (error) {
      onFault(`entry ${address}: ${error instanceof Error ? error.message : String(error)}`)
    } finally {
      isFetching = false
    }
  }

  return {
    source: () => {
      const [address] = addresses
      if (address !== undefined) return { kind: SourceKind.Entry, address }
      return clock.nowMs() >= fallbackAtMs ? { kind: SourceKind.Store } : undefined
    },
    zoneEntries: () => listed,
    recordFailure: address => {
      addresses = addresses.filter(known => known !== address)
      if (addresses.length === 0) nextFetchMs = Math.min(nextFetchMs, clock.nowMs())
    },
    tick: () => {
      if (isFetching || clock.nowMs() < nextFetchMs) return
      const [address] = random.shuffle([...new Set([...addresses, ...seeds])])
      if (address === undefined) return
      nextFetchMs = clock.nowMs() + SEARCH_INTERVAL_MS
      fetchFrom(address).catch(error => onFault(String(error)))
    }
  }
}
