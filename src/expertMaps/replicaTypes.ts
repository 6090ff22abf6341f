/** Experts of each rank by set: `map[set][rank]` lists experts. All holders of an expert share its tokens evenly. */
export type ReplicaMap = readonly (readonly (readonly number[])[])[]

/** Tokens by set and expert: `loads[set][expert]`. */
export type ExpertLoads = readonly (readonly number[])[]

/** Limits of a group that publishes its maps by rank. */
export interface ReplicaLimits {
  /** Most experts that a rank holds in one set. */
  placementsMax: number
  /** Most experts of one set that a rank may copy for one map. */
  copiesMax: number
  /** Most experts that a rank copies for one map over all sets; copies of a rank run one after the other. */
  copiesPerRankMax: number
}

export interface ReplicaPlan {
  map: ReplicaMap
  copies: number
  /** Load of the busiest rank over the mean, averaged over the sets by their load. */
  peakBefore: number
  peakAfter: number
}
