import type { Incarnation } from '../core/index.js'

/** Size of a group of ranks, taken from the `group` of its pool row. */
export interface GroupShape {
  ranks: number
  experts: number
  layers: number
  expertBytes: number
}

/** One rank that hosts an expert, with its share of the tokens for that expert. */
export interface Replica {
  rank: number
  /** Multiple of 1 / SHARE_UNITS; the shares of an expert sum to 1. */
  share: number
}

/** Identity of a map. Version 0 is the map that every process derives from the group shape alone. */
export interface MapId {
  version: number
  /** Fingerprint of the content, 16 hexadecimal digits. */
  hash: string
}

/** Placement of all experts: `layers[layer][expert]` lists the replicas in ascending order of rank. */
export interface ExpertMap {
  id: MapId
  layers: Replica[][][]
}

/** Flat index of one expert in one layer: `layer * experts + expert`. */
export type ItemIndex = number

/** Weights of one expert that a rank must receive before it can use a map. */
export interface Copy {
  item: ItemIndex
  toRank: number
}

/** Load report of one rank over consecutive steps. */
export interface RankReport {
  rank: number
  incarnation: Incarnation
  /** Last step covered; identifies the report together with rank and incarnation. */
  step: number
  /** Number of steps covered. */
  steps: number
  /** Compute time of the rank, without time spent waiting for other ranks. */
  durationMs: number
  /** Hash of the map that the steps used. */
  mapHash: string
  /** Tokens by hosted expert, in ascending order of item. */
  tokens: number[]
}

/** Weights of the objective and limit on concurrent copies, set by the operator for a pool. */
export interface PlanWeights {
  skewWeight: number
  moveWeight: number
  movesAtOnceMax: number
}
