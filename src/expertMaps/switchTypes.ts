import type { Incarnation } from '../core/index.js'
import type { MapId } from './types.js'

/** Order of the attempts to change the map of a group; a rank obeys the highest it has promised. */
export type Ballot = readonly [counter: number, incarnation: Incarnation]

/** Negative if `a` is lower than `b`, 0 if they are the same attempt. */
export const compareBallots = (a: Ballot, b: Ballot): number =>
  a[0] - b[0] || (a[1] < b[1] ? -1 : Number(a[1] > b[1]))

/** Messages between a coordinator and the ranks, the payload of `FrameKind.Switch`. */
export enum SwitchKind {
  Prepare = 'prepare',
  Prepared = 'prepared',
  Refused = 'refused',
  Stage = 'stage',
  Staged = 'staged',
  Hold = 'hold',
  Held = 'held',
  HoldMissed = 'hold-missed',
  Release = 'release',
  Released = 'released',
  MapRequest = 'map-request',
  MapBody = 'map-body',
  RankStarted = 'rank-started'
}

/** What a release lets a held rank do. */
export enum ReleaseChoice {
  /** Use the new map from the held step on. */
  Adopt = 'adopt',
  /** Go on with the map in use. */
  Keep = 'keep',
  /** Abandon the step under way and go on at the given step with the given map. */
  Restart = 'restart'
}

export enum StageProgress {
  /** The rank needs the changes of the map. */
  Unknown = 'unknown',
  /** The rank can't apply the changes and needs them relative to version 0. */
  BaseUnknown = 'base-unknown',
  Copying = 'copying',
  Done = 'done'
}

/** A promise not to begin `step` before a release; without a step, not to begin any step. */
export interface Hold {
  mapId: MapId
  step: number | null
}

/** State of a rank that decides how a round goes on. */
export interface RankView {
  incarnation: Incarnation
  /** Lowest step that the rank has not begun. */
  nextStep: number
  /** Map released last, in use or granted for a later step; null after a start. */
  latest: MapId | null
  held: Hold | null
}

/** Changes of a map relative to a base that the rank knows. */
export interface MapChanges {
  base: MapId
  bytes: Uint8Array
}

/** Messages to a rank. But for Prepare they name its incarnation, so that a restarted rank ignores them. */
export type RankBoundMessage =
  | { kind: SwitchKind.Prepare, ballot: Ballot }
  | {
    kind: SwitchKind.Stage
    ballot: Ballot
    incarnation: Incarnation
    mapId: MapId
    /** Absent in a question for progress. */
    changes?: MapChanges
    /** False at the start of a group, when no peer has weights. */
    hasPeers: boolean
  }
  /** Holds the map that the same ballot staged. */
  | { kind: SwitchKind.Hold, ballot: Ballot, incarnation: Incarnation, step: number | null }
  | {
    kind: SwitchKind.Release
    ballot: Ballot
    incarnation: Incarnation
    choice: ReleaseChoice
    mapId: MapId
    step: number
  }
  | { kind: SwitchKind.MapRequest, ballot: Ballot, mapId: MapId }

/**
 * Messages to a coordinator. A rank answers only what is addressed to its run, and a ballot stages a
 * single map, so the answers repeat neither.
 */
export type CoordinatorBoundMessage =
  | { kind: SwitchKind.Prepared, ballot: Ballot, view: RankView }
  | { kind: SwitchKind.Refused, ballot: Ballot, promised: Ballot }
  | { kind: SwitchKind.Staged, ballot: Ballot, progress: StageProgress, nextStep: number }
  | { kind: SwitchKind.Held, ballot: Ballot, step: number | null, nextStep: number }
  | { kind: SwitchKind.HoldMissed, ballot: Ballot, step: number, nextStep: number }
  | { kind: SwitchKind.Released, ballot: Ballot }
  | { kind: SwitchKind.MapBody, ballot: Ballot, mapId: MapId, bytes: Uint8Array }
  | { kind: SwitchKind.RankStarted, incarnation: Incarnation }

export type SwitchMessage = RankBoundMessage | CoordinatorBoundMessage

/** Safety rules of the protocol; tests switch one off to show that its absence is seen. */
export interface SwitchRules {
  /** Ranks refuse messages of a lower ballot than promised. */
  checksBallot: boolean
  /** Ranks ignore messages addressed to an earlier run of their process. */
  checksIncarnation: boolean
  /** A release waits until all ranks hold. */
  needsAllHolds: boolean
  /** A successor finishes a switch to which any rank was released. */
  followsReleased: boolean
}

export const ALL_SWITCH_RULES: SwitchRules =
  { checksBallot: true, checksIncarnation: true, needsAllHolds: true, followsReleased: true }
