import type { TimestampMs } from '../core/index.js'
import type { ReplicaMap } from './replicaTypes.js'

/** Orders that a coordinator sends to a rank. */
export enum RankOrderKind {
  /** Copy the weights that a map requires. */
  Prepare = 'prepare',
  /** Use the prepared map from the given pass on. */
  Arm = 'arm',
  Disarm = 'disarm',
  /** Do not begin the given pass before it is released; this blocks the whole group. */
  Hold = 'hold',
  /** Release a held pass. */
  Go = 'go'
}

/** A map in force, under the version that no other map ever has. */
export interface VersionedMap { version: number, map: ReplicaMap }

export type RankOrder =
  /** `base` is set if the receiver probably knows it: the map may then be sent as its differences. */
  | { kind: RankOrderKind.Prepare, version: number, map: ReplicaMap, base?: VersionedMap }
  | { kind: RankOrderKind.Arm, version: number, step: number }
  | { kind: RankOrderKind.Disarm, version: number }
  | { kind: RankOrderKind.Hold, step: number }
  | { kind: RankOrderKind.Go, step: number }

/** Response of a rank to an order. Without a response, the order may have been executed or may be executed later. */
export enum OrderAnswer {
  Accepted = 'accepted',
  Rejected = 'rejected',
  /** The order was not executed: the receiver does not know the map from which the order's map differs. */
  BaseUnknown = 'base-unknown',
  None = 'none'
}

/** State of one rank as last read by its agent. */
export interface RankStatus {
  rank: number
  epoch: number
  /** Last forward pass that has begun. */
  step: number
  stepAtMs: TimestampMs
  mapVersion: number
  preparedVersion: number | undefined
  armed: { version: number, step: number } | undefined
  heldStep: number | undefined
}

/** A planned change of the map of one group. */
export interface SwitchPlan {
  epoch: number
  ranks: number
  /** Rank on the host of this coordinator. */
  ownRank: number
  /** Rank of a lost coordinator that is unreachable; set only in a recovery. */
  absentRank?: number
  /** Map currently in use. */
  baseMap: ReplicaMap
  /** Version of `baseMap`; undefined if `baseMap` was completed for a rank that is unreachable. */
  baseVersion?: number
  /** Unique version of `map`: no coordinator ever uses it for another map. */
  version: number
  /** Allocates a unique version above all known ones, used to fence ranks when the switch is called off. */
  allocateFenceVersion: () => number
  /** Highest step of any earlier hold. A new hold uses a later step, so that a late release cannot release it. */
  heldStepMax: number
  map: ReplicaMap
  /** Typical time between two forward passes. */
  passMs: number
  /** Expected time from the hold to the release; the held pass is chosen so far ahead that the group need not wait. */
  armingMs: number
}

export enum SwitchPhase {
  Preparing = 'preparing',
  Holding = 'holding',
  Arming = 'arming',
  /** The switch is called off; a first rank must confirm that it can no longer be armed with the version. */
  Fencing = 'fencing',
  Disarming = 'disarming',
  Releasing = 'releasing',
  Ended = 'ended'
}

export enum SwitchResult {
  Switched = 'switched',
  CalledOff = 'called-off',
  /** The group began a new epoch, which discards all orders. */
  EpochEnded = 'epoch-ended'
}

export enum MapSwitchMessageKind {
  Started = 'started',
  /** Takes over a held group whose coordinator was lost. */
  Recovered = 'recovered',
  OrderAnswered = 'order-answered',
  ViewsChanged = 'views-changed',
  Tick = 'tick'
}

export type MapSwitchMessage =
  | { kind: MapSwitchMessageKind.Started }
  | { kind: MapSwitchMessageKind.Recovered, heldStep: number }
  | { kind: MapSwitchMessageKind.OrderAnswered, orderId: number, answer: OrderAnswer }
  | { kind: MapSwitchMessageKind.ViewsChanged, views: readonly RankStatus[] }
  | { kind: MapSwitchMessageKind.Tick }

export enum MapSwitchEffectKind {
  SendOrder = 'send-order',
  PhaseChanged = 'phase-changed',
  Ended = 'ended'
}

export type MapSwitchEffect =
  | { kind: MapSwitchEffectKind.SendOrder, orderId: number, rank: number, epoch: number, order: RankOrder }
  | { kind: MapSwitchEffectKind.PhaseChanged, phase: SwitchPhase, step: number | undefined, reason: string }
  | { kind: MapSwitchEffectKind.Ended, result: SwitchResult }
