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

/** Weights of one rank: what is loaded and what is still missing for a staged map. */
export interface WeightStaging {
  readonly stagedMap: ExpertMap | undefined
  isComplete (mapId: MapId): boolean
  /** Starts to load what the rank lacks for a map, in place of any earlier staging. */
  begin (map: ExpertMap, base: ExpertMap, hasPeers: boolean): WeightEffect[]
  /** Takes the result of the load under way; a store that refuses may name a time to wait. */
  finished (item: ItemIndex, isDone: boolean, retryAfterMs?: number): WeightEffect[]
  tick (): WeightEffect[]
  /** Ends staging and drops weights that none of `maps` uses. */
  endStaging (maps: readonly ExpertMap[]): WeightEffect[]
}

/**
 * Loads weights one expert at a time: from each peer that hosts it, then from the rate-limited
 * store, which is asked again after the time it names.
 */
export const createWeightStaging = ({ rank, clock }: { rank: number, clock: Clock }): WeightStaging => {
  const loaded = new Set<ItemIndex>()
  let stagedMap: ExpertMap | undefined
  let missing: ItemIndex[] = []
  let peersOf: (item: ItemIndex) => number[] = () => []
  /** Peers left to ask for the first missing item. */
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

  /** Weights that arrived after their staging ended are of no use. */
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
        // Receivers start at different hosts, so that one host doesn't send all copies of an expert.
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
