import type { TimestampMs } from '../core/index.js'
import type { ReplicaMap } from './replicaTypes.js'

/** What a rank can be told. */
export enum RankOrderKind {
  /** Copy what a map needs. */
  Prepare = 'prepare',
  /** Use the prepared map from a pass on. */
  Arm = 'arm',
  Disarm = 'disarm',
  /** Keep the group from beginning a pass until it is released. */
  Hold = 'hold',
  /** Release a held pass. */
  Go = 'go'
}

export type RankOrder =
  | { kind: RankOrderKind.Prepare, version: number, map: ReplicaMap }
  | { kind: RankOrderKind.Arm, version: number, step: number }
  | { kind: RankOrderKind.Disarm, version: number }
  | { kind: RankOrderKind.Hold, step: number }
  | { kind: RankOrderKind.Go, step: number }

/** How a rank answered an order; without an answer the order may have been carried out, or be so later. */
export enum OrderAnswer {
  Accepted = 'accepted',
  Rejected = 'rejected',
  None = 'none'
}

/** State of one rank as its agent read it last. */
export interface RankStatus {
  rank: number
  epoch: number
  /** Last pass that was begun. */
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
  /** Rank on the machine of this coordinator. */
  ownRank: number
  /** Rank of a lost coordinator that cannot be reached; only a recovery has one. */
  absentRank?: number
  /** Version in force, and its content. */
  baseMap: ReplicaMap
  /** Unique: no coordinator ever uses it for another map. */
  version: number
  /** Gives unique versions above all that are known, for the case that the switch is called off. */
  allocateFenceVersion: () => number
  /** Steps up to this one were held before; a late release of such a hold must not meet another one. */
  heldStepMax: number
  map: ReplicaMap
  /** Usual time between two passes. */
  passMs: number
}

export enum SwitchPhase {
  Preparing = 'preparing',
  Holding = 'holding',
  Arming = 'arming',
  /** Called off: no rank may be armed with the version any more. */
  Fencing = 'fencing',
  Disarming = 'disarming',
  Releasing = 'releasing',
  Ended = 'ended'
}

export enum SwitchResult {
  Switched = 'switched',
  CalledOff = 'called-off',
  /** The group began a new epoch, which forgets every order. */
  EpochEnded = 'epoch-ended'
}

export enum MapSwitchMessageKind {
  Started = 'started',
  /** Takes over a held group whose coordinator is gone. */
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
