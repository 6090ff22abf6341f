import { isSameMap } from './expertMap.js'
import type { RankView } from './switchTypes.js'
import type { MapId } from './types.js'

/** What a round must do, given the states of all ranks. */
export enum RoundKind {
  /** No earlier round is unfinished; a new map may be staged. */
  Clean = 'clean',
  /** No rank was released to a new map: held ranks continue with the old one. */
  RollBack = 'roll-back',
  /** At least one rank was released to a new map: the others must follow. */
  Finish = 'finish',
  /** At least one rank has no map: all ranks stop and resume at a step that none of them has begun. */
  Restart = 'restart'
}

export interface RoundAssessment {
  kind: RoundKind
  /** The newest map that any rank was released to; undefined at the start of a group. */
  newest?: MapId
}

/**
 * Determines from the states of all ranks of a group what a round must do.
 *
 * Between two rounds, ranks have been released to at most two maps of successive versions, because
 * a release to a new map requires that every rank holds, and a round ends only when all ranks have
 * the map. `followsReleased` is disabled only by tests.
 */
export const assessRound = (views: readonly RankView[], followsReleased = true): RoundAssessment => {
  const latestMaps = views.map(({ latest }) => latest).filter(id => id !== null)
  const newest = latestMaps.reduce<MapId | undefined>((best, id) =>
    best === undefined || id.version > best.version ? id : best, undefined)
  const isStopped = views.some(({ held }) => held !== null && held.step === null)
  if (newest === undefined || latestMaps.length < views.length || isStopped) return { kind: RoundKind.Restart, newest }

  const behind = views.filter(({ latest }) => !isSameMap(latest!, newest))
  if (behind.length === 0) {
    return { kind: views.some(({ held }) => held !== null) ? RoundKind.RollBack : RoundKind.Clean, newest }
  }
  if (!followsReleased) return { kind: RoundKind.RollBack, newest: behind[0]!.latest! }
  const canFollow = behind.every(({ held }) => isSameMap(held?.mapId, newest))
  return { kind: canFollow ? RoundKind.Finish : RoundKind.Restart, newest }
}
