import type { Clock, Incarnation, Random } from '../core/index.js'
import type { CoordinatorBoundMessage, RankBoundMessage, SwitchRules } from './switchTypes.js'
import type { ExpertMap, GroupShape } from './types.js'

export enum CoordinatorMessageKind {
  SwitchReceived = 'switch-received',
  /** Requests a switch of the group to `map`, which was planned from `base`. */
  SwitchRequested = 'switch-requested',
  LiveRanksChanged = 'live-ranks-changed',
  CoordinatorSuspected = 'coordinator-suspected',
  Tick = 'tick'
}

export type CoordinatorMessage =
  | { kind: CoordinatorMessageKind.SwitchReceived, from: number, message: CoordinatorBoundMessage }
  | { kind: CoordinatorMessageKind.SwitchRequested, base: ExpertMap, map: ExpertMap }
  | { kind: CoordinatorMessageKind.LiveRanksChanged, ranks: readonly number[] }
  | { kind: CoordinatorMessageKind.CoordinatorSuspected, rank: number }
  | { kind: CoordinatorMessageKind.Tick }

export enum CoordinatorEffectKind {
  SendToRank = 'send-to-rank',
  SwitchEnded = 'switch-ended'
}

/** How a requested switch ended. */
export enum SwitchOutcome {
  Done = 'done',
  /** Staging or holding timed out; the group continues with its current map. */
  RolledBack = 'rolled-back',
  /** The group no longer uses the map that the change was planned from. */
  Outdated = 'outdated'
}

export type CoordinatorEffect =
  | { kind: CoordinatorEffectKind.SendToRank, to: number, message: RankBoundMessage }
  | { kind: CoordinatorEffectKind.SwitchEnded, outcome: SwitchOutcome, map: ExpertMap }

export interface SwitchCoordinatorOptions {
  shape: GroupShape
  rank: number
  incarnation: Incarnation
  movesAtOnceMax: number
  clock: Clock
  random: Random
  rules?: SwitchRules
}
