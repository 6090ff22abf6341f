import type { Incarnation } from '../core/index.js'
import type { MapId } from './types.js'

/**
 * Orders the attempts to change the map of a group; a rank refuses ballots lower than the highest it has
 * promised.
 */
export type Ballot = readonly [counter: number, incarnation: Incarnation]

/** Negative if `a` is lower than `b`, 0 if they are the same attempt. */
export const compareBallots = (a: Ballot, b: Ballot): number =>
  a[0] - b[0] || (a[1] < b[1] ? -1 : Number(a[1] > b[1]))

/** Kinds of messages between a coordinator and the ranks, the payload of `FrameKind.Switch`. */
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

/** How a held rank proceeds after a release. */
export enum ReleaseChoice {
  /** Use the new map from the held step on. */
  Adopt = 'adopt',
  /** Continue with the map in use. */
  Keep = 'keep',
  /** Abandon the current step and resume at the given step with the given map. */
  Restart = 'restart'
}

export enum StageProgress {
  /** The rank needs the changes of the map. */
  Unknown = 'unknown',
  /** The rank does not know the base map and needs the changes relative to version 0. */
  BaseUnknown = 'base-unknown',
  Copying = 'copying',
  Done = 'done'
}

/** A promise not to begin `step` before a release; without a step, not to begin any step. */
export interface Hold {
  mapId: MapId
  step: number | null
}

/** State of a rank from which a coordinator decides how a round continues. */
export interface RankView {
  incarnation: Incarnation
  /** Lowest step that the rank has not begun. */
  nextStep: number
  /** Map released last: in use, or scheduled for a later step; null after the rank starts. */
  latest: MapId | null
  held: Hold | null
}

/** Changes of a map relative to a base that the rank knows. */
export interface MapChanges {
  base: MapId
  bytes: Uint8Array
}

/** Messages to a rank. Stage, Hold and Release name its incarnation, so that a restarted rank ignores them. */
export type RankBoundMessage =
  | { kind: SwitchKind.Prepare, ballot: Ballot }
  | {
    kind: SwitchKind.Stage
    ballot: Ballot
    incarnation: Incarnation
    mapId: MapId
    /** Absent in a progress poll. */
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
 * Messages to a coordinator. A rank replies only to messages addressed to its run, and a ballot stages
 * a single map, so replies name neither the run nor the map.
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

/** Safety rules of the protocol; tests disable one at a time to show that its absence is detected. */
export interface SwitchRules {
  /** Ranks refuse messages of a lower ballot than promised. */
  checksBallot: boolean
  /** Ranks ignore messages addressed to an earlier run of their process. */
  checksIncarnation: boolean
  /** A release waits until all ranks hold. */
  needsAllHolds: boolean
  /** A successor finishes a switch if any rank was already released to the new map. */
  followsReleased: boolean
}

export const ALL_SWITCH_RULES: SwitchRules =
  { checksBallot: true, checksIncarnation: true, needsAllHolds: true, followsReleased: true }
