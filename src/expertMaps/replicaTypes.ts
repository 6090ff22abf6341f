/**
 * Experts of each rank by set: `map[set][rank]` lists experts. All ranks that hold an expert share its tokens
 * evenly.
 */
export type ReplicaMap = readonly (readonly (readonly number[])[])[]

/** Tokens by set and expert: `loads[set][expert]`. */
export type ExpertLoads = readonly (readonly number[])[]

/** Limits on the maps of a group whose ranks publish the experts that they hold. */
export interface ReplicaLimits {
  /** Maximum experts of one set that a rank holds. */
  placementsMax: number
  /** Maximum experts of one set that a rank may copy for one map. */
  copiesMax: number
  /** Maximum experts over all sets that a rank may copy for one map; copies of a rank run sequentially. */
  copiesPerRankMax: number
}

export interface ReplicaPlan {
  map: ReplicaMap
  copies: number
  /** Load of the busiest rank relative to the mean, averaged over the sets and weighted by their load. */
  peakBefore: number
  peakAfter: number
}
