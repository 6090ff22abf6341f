import type { Clock, TimestampMs } from '../core/index.js'
import { STORE_RETRY_MS } from './constants.js'
import { hostedItems, isSameMap, replicasOf } from './expertMap.js'
import type { ExpertMap, ItemIndex, MapId } from './types.js'

export enum WeightEffectKind {
  CopyFromPeer = 'copy-from-peer',
  LoadFromStore = 'load-from-store',
  DropWeights = 'drop-weights'
}

export type WeightEffect =
  | { kind: WeightEffectKind.CopyFromPeer, item: ItemIndex, fromRank: number }
  | { kind: WeightEffectKind.LoadFromStore, item: ItemIndex }
  | { kind: WeightEffectKind.DropWeights, items: ItemIndex[] }

/** Expert weights of one rank: those loaded, and those still missing for a staged map. */
export interface WeightStaging {
  readonly stagedMap: ExpertMap | undefined
  isComplete (mapId: MapId): boolean
  /** Starts loading the weights that the rank lacks for a map; replaces any earlier staging. */
  begin (map: ExpertMap, base: ExpertMap, hasPeers: boolean): WeightEffect[]
  /** Handles the result of the load in progress; a store that refuses may give a time after which to retry. */
  finished (item: ItemIndex, isDone: boolean, retryAfterMs?: number): WeightEffect[]
  tick (): WeightEffect[]
  /** Ends staging and drops weights that none of `maps` needs. */
  endStaging (maps: readonly ExpertMap[]): WeightEffect[]
}

/**
 * Loads weights one expert at a time: first from each peer that hosts it, then from the rate-limited
 * store, which is retried after the time that it gives.
 */
export const createWeightStaging = ({ rank, clock }: { rank: number, clock: Clock }): WeightStaging => {
  const loaded = new Set<ItemIndex>()
  let stagedMap: ExpertMap | undefined
  let missing: ItemIndex[] = []
  let peersOf: (item: ItemIndex) => number[] = () => []
  /** Peers not yet tried for the first missing item. */
  let remainingPeers: number[] = []
  let loading: { item: ItemIndex, isFromStore: boolean } | undefined
  let retryAtMs: TimestampMs | undefined

  const requestNext = (): WeightEffect[] => {
    const item = missing[0]
    if (item === undefined) return []
    const fromRank = remainingPeers.shift()
    loading = { item, isFromStore: fromRank === undefined }
    return fromRank === undefined
      ? [{ kind: WeightEffectKind.LoadFromStore, item }]
      : [{ kind: WeightEffectKind.CopyFromPeer, item, fromRank }]
  }

  const requestFirstMissing = (): WeightEffect[] => {
    if (loading !== undefined || retryAtMs !== undefined || missing[0] === undefined) return []
    remainingPeers = peersOf(missing[0])
    return requestNext()
  }

  /** Records loaded weights; drops them if their staging has already ended. */
  const recordLoaded = (item: ItemIndex): WeightEffect[] => {
    if (!missing.includes(item)) return [{ kind: WeightEffectKind.DropWeights, items: [item] }]
    loaded.add(item)
    missing = missing.filter(other => other !== item)
    return []
  }

  return {
    get stagedMap () { return stagedMap },
    isComplete: mapId => stagedMap !== undefined && isSameMap(stagedMap.id, mapId) && missing.length === 0,
    begin: (map, base, hasPeers) => {
      stagedMap = map
      missing = hostedItems(map, rank).filter(item => !loaded.has(item))
      peersOf = item => {
        const hosts = hasPeers ? replicasOf(base, item).map(replica => replica.rank).filter(host => host !== rank) : []
        // Receivers start with different ranks, so that one rank does not send all copies of an expert.
        const offset = hosts.length === 0 ? 0 : rank % hosts.length
        return [...hosts.slice(offset), ...hosts.slice(0, offset)]
      }
      retryAtMs = undefined
      return requestFirstMissing()
    },
    finished: (item, isDone, retryAfterMs = STORE_RETRY_MS) => {
      if (loading?.item !== item) return []
      const { isFromStore } = loading
      loading = undefined
      if (isDone) return [...recordLoaded(item), ...requestFirstMissing()]
      if (missing[0] !== item) return requestFirstMissing()
      if (!isFromStore) return requestNext()
      retryAtMs = clock.nowMs() + retryAfterMs
      return []
    },
    tick: () => {
      if (retryAtMs === undefined || clock.nowMs() < retryAtMs) return []
      retryAtMs = undefined
      return requestFirstMissing()
    },
    endStaging: maps => {
      stagedMap = undefined
      missing = []
      retryAtMs = undefined
      const used = new Set(maps.flatMap(map => hostedItems(map, rank)))
      const items = [...loaded].filter(item => !used.has(item))
      items.forEach(item => loaded.delete(item))
      return items.length === 0 ? [] : [{ kind: WeightEffectKind.DropWeights, items }]
    }
  }
}
