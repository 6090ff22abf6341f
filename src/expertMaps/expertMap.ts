import { fingerprint, FrameError } from '../core/index.js'
import { SHARE_UNITS, SPARE_SLOT_RATIO, SPARE_SLOTS_MIN } from './constants.js'
import type { Copy, ExpertMap, GroupShape, ItemIndex, MapId, Replica } from './types.js'

/** Whether two map ids identify the same map. */
export const isSameMap = (a: MapId | undefined, b: MapId | undefined): boolean =>
  a !== undefined && b !== undefined && a.version === b.version && a.hash === b.hash

/** Number of experts over all layers of a group. */
export const itemCountOf = ({ experts, layers }: GroupShape): number => experts * layers

/** Number of experts that fit in the memory of one rank: an even split plus a few spare slots. */
export const slotsPerRank = (shape: GroupShape): number => {
  const even = Math.ceil(itemCountOf(shape) / shape.ranks)
  return even + Math.max(SPARE_SLOTS_MIN, Math.ceil(even * SPARE_SLOT_RATIO))
}

/** Item index (3 bytes) and replica count. */
const ITEM_HEADER_BYTES = 4
/** Rank (2 bytes) and share. */
const REPLICA_BYTES = 3

/**
 * Encodes the replicas of the given items, or of all items if none are given. Writes into one buffer
 * of precomputed size, because planning runs between requests and should produce little garbage.
 */
const encodeItems = (replicasByItem: ReadonlyArray<readonly Replica[]>, items?: readonly ItemIndex[]): Uint8Array => {
  const count = items?.length ?? replicasByItem.length
  let size = 0
  for (let i = 0; i < count; i++) {
    size += ITEM_HEADER_BYTES + REPLICA_BYTES * replicasByItem[items === undefined ? i : items[i]!]!.length
  }
  const bytes = new Uint8Array(size)
  let at = 0
  for (let i = 0; i < count; i++) {
    const item = items === undefined ? i : items[i]!
    const replicas = replicasByItem[item]!
    bytes[at++] = item & 0xff
    bytes[at++] = (item >> 8) & 0xff
    bytes[at++] = (item >> 16) & 0xff
    bytes[at++] = replicas.length
    for (const { rank, share } of replicas) {
      bytes[at++] = rank & 0xff
      bytes[at++] = rank >> 8
      bytes[at++] = Math.round(share * SHARE_UNITS)
    }
  }
  return bytes
}

const hashOf = (layers: Replica[][][]): string => fingerprint(encodeItems(layers.flat()))

/** Creates a map from its replicas and computes its hash. */
export const createMap = (version: number, layers: Replica[][][]): ExpertMap =>
  ({ id: { version, hash: hashOf(layers) }, layers })

/**
 * Creates the map of version 0: experts spread evenly, each on one rank. It depends only on the
 * shape, so a new process can derive it without a message.
 *
 * @example
 * createInitialMap({ ranks: 4, experts: 16, layers: 8, expertBytes: 44_000_000 }).id.version // 0
 */
export const createInitialMap = ({ ranks, experts, layers }: GroupShape): ExpertMap =>
  createMap(0, Array.from({ length: layers }, (_layer, layer) =>
    Array.from({ length: experts }, (_expert, expert) => [{ rank: (expert + layer * experts) % ranks, share: 1 }])))

/** Items that a rank hosts, in ascending order. */
export const hostedItems = (map: ExpertMap, rank: number): ItemIndex[] => {
  const items: ItemIndex[] = []
  let item = 0
  for (const layer of map.layers) {
    for (const replicas of layer) {
      if (replicas.some(replica => replica.rank === rank)) items.push(item)
      item += 1
    }
  }
  return items
}

/** Replicas of one item. */
export const replicasOf = (map: ExpertMap, item: ItemIndex): readonly Replica[] => {
  const experts = map.layers[0]?.length ?? 1
  return map.layers[Math.floor(item / experts)]?.[item % experts] ?? []
}

const isSameReplicas = (a: readonly Replica[], b: readonly Replica[]) =>
  a === b || (a.length === b.length && a.every(({ rank, share }, i) => rank === b[i]!.rank && share === b[i]!.share))

/**
 * Encodes the difference of two maps: for each changed item its index (3 bytes), the replica count
 * (1 byte) and three bytes per replica.
 */
export const encodeChanges = (base: ExpertMap, map: ExpertMap): Uint8Array => {
  const baseItems = base.layers.flat()
  const mapItems = map.layers.flat()
  const changed: ItemIndex[] = []
  for (let item = 0; item < mapItems.length; item++) {
    if (!isSameReplicas(mapItems[item]!, baseItems[item]!)) changed.push(item)
  }
  return encodeItems(mapItems, changed)
}

/**
 * Applies encoded changes to the base map that they refer to.
 *
 * @throws FrameError if the bytes are malformed or the hash of the result differs from that of `id`
 */
export const applyChanges = (base: ExpertMap, changes: Uint8Array, id: MapId): ExpertMap => {
  const experts = base.layers[0]?.length ?? 1
  const layers = base.layers.map(layer => [...layer])
  let at = 0
  const read = () => {
    const value = changes[at++]
    if (value === undefined) throw new FrameError('map changes are truncated')
    return value
  }
  while (at < changes.length) {
    const item = read() | read() << 8 | read() << 16
    const replicas = Array.from({ length: read() }, () =>
      ({ rank: read() | read() << 8, share: read() / SHARE_UNITS }))
    const layer = layers[Math.floor(item / experts)]
    if (layer === undefined) throw new FrameError(`map changes name item ${item}`)
    layer[item % experts] = replicas
  }
  const map = createMap(id.version, layers)
  if (map.id.hash !== id.hash) throw new FrameError(`map ${id.version} has hash ${map.id.hash}, expected ${id.hash}`)
  return map
}

/** Copies of weights that a change from one map to another requires. */
export const copiesBetween = (base: ExpertMap, map: ExpertMap): Copy[] => {
  const copies: Copy[] = []
  const baseItems = base.layers.flat()
  map.layers.flat().forEach((replicas, item) => {
    const before = baseItems[item]!
    if (replicas === before) return
    for (const { rank } of replicas) {
      if (!before.some(replica => replica.rank === rank)) copies.push({ item, toRank: rank })
    }
  })
  return copies
}

/** Tokens that each rank computes under a map. */
export const rankLoads = (map: ExpertMap, loads: ArrayLike<number>, ranks: number): Float64Array => {
  const totals = new Float64Array(ranks)
  let item = 0
  for (const layer of map.layers) {
    for (const replicas of layer) {
      for (const { rank, share } of replicas) totals[rank]! += share * loads[item]!
      item += 1
    }
  }
  return totals
}

/** Ratio of the longest to the mean step time of the ranks; 1 without load. */
export const skewOf = (times: ArrayLike<number>): number => {
  let max = 0
  let sum = 0
  for (let rank = 0; rank < times.length; rank++) {
    max = Math.max(max, times[rank]!)
    sum += times[rank]!
  }
  return sum === 0 ? 1 : max * times.length / sum
}
