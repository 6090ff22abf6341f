import {
  type Clock, type Core, dispatch, type HandlerTable, type Incarnation, type Random, type TimestampMs
} from '../core/index.js'
import {
  ASSIGNMENT_RETRY_MS, LEASE_CLAIM_JITTER_MS, LEASE_DURATION_MS, LEASE_RENEW_INTERVAL_MS, LEASE_VIEW_FRESH_MS,
  LeaseRecordKind
} from './constants.js'
import { textOfPlacements } from './leaseState.js'
import type { Claim, LeaseHolderRecord, Placement, PoolAssignment } from './types.js'

export enum HolderMessageKind {
  ClaimInEffect = 'claim-in-effect',
  HolderSeen = 'holder-seen',
  AssignmentAccepted = 'assignment-accepted',
  /** The reader has reached the end of the lease stream. */
  LogRead = 'log-read',
  /** The reader of the lease stream can't cross a gap. */
  GapPersists = 'gap-persists',
  /** The planner has computed placements for a pool. */
  PlacementsPlanned = 'placements-planned',
  /** The pool was removed from the configuration. */
  PoolRemoved = 'pool-removed',
  Tick = 'tick'
}

export type HolderMessage =
  | { kind: HolderMessageKind.ClaimInEffect, claim: Claim }
  | { kind: HolderMessageKind.HolderSeen }
  | { kind: HolderMessageKind.AssignmentAccepted, assignment: PoolAssignment }
  | { kind: HolderMessageKind.LogRead }
  | { kind: HolderMessageKind.GapPersists }
  | { kind: HolderMessageKind.PlacementsPlanned, pool: string, placements: Placement[] }
  | { kind: HolderMessageKind.PoolRemoved, pool: string }
  | { kind: HolderMessageKind.Tick }

export enum HolderEffectKind {
  AppendRecord = 'append-record',
  /** Whether this process plans placements. It may be superseded unknowingly; its records are then void. */
  HoldingChanged = 'holding-changed'
}

export type HolderEffect =
  | { kind: HolderEffectKind.AppendRecord, record: LeaseHolderRecord }
  | { kind: HolderEffectKind.HoldingChanged, isHolder: boolean }

interface DesiredPool {
  placements: Placement[]
  text: string
  /** Time of the last append that has not been read back from the log. */
  appendedMs: TimestampMs | undefined
}

export interface LeaseHolderOptions {
  self: Incarnation
  clock: Clock
  random: Random
}

/**
 * Decides when to claim the placement lease, when to renew it, and when to append assignments.
 * Timing affects availability only: the order of the log decides which claim and which records take
 * effect, so a lost response to an append is handled by a retry.
 *
 * @example
 * const holder = createLeaseHolder({ self, clock, random })
 * holder.handle({ kind: HolderMessageKind.Tick }) // a claim, after a long enough silence
 */
export const createLeaseHolder = ({ self, clock, random }: LeaseHolderOptions): Core<HolderMessage, HolderEffect> => {
  let claim: Claim | undefined
  let lastReadMs: TimestampMs | undefined
  let silentSinceMs = clock.nowMs()
  let claimDelayMs = 0
  let lastAppendMs = 0
  let nextSequence = 1
  const desiredPools = new Map<string, DesiredPool>()
  /** The assignment in effect of each pool. */
  const assigned = new Map<string, { claimOffset: number, text: string }>()

  const isHolder = () => claim !== undefined && claim.holder === self

  const restartSilenceTimer = () => {
    silentSinceMs = clock.nowMs()
    // Without a claim there is no holder whose lease could still be valid.
    claimDelayMs = (claim === undefined ? 0 : LEASE_DURATION_MS) + random.next() * LEASE_CLAIM_JITTER_MS
  }
  restartSilenceTimer()

  const append = (record: LeaseHolderRecord): HolderEffect => {
    lastAppendMs = clock.nowMs()
    return { kind: HolderEffectKind.AppendRecord, record }
  }

  const onClaim = (newClaim: Claim): HolderEffect[] => {
    const wasHolder = isHolder()
    if (claim !== undefined && newClaim.offset <= claim.offset) return []
    claim = newClaim
    nextSequence = 1
    for (const pool of desiredPools.values()) pool.appendedMs = undefined
    restartSilenceTimer()
    return wasHolder === isHolder() ? [] : [{ kind: HolderEffectKind.HoldingChanged, isHolder: isHolder() }]
  }

  const isInEffect = (pool: string, { text }: DesiredPool) => {
    const current = assigned.get(pool)
    // Agents refuse the token of an earlier claim, so a new holder appends every assignment again.
    return current !== undefined && current.claimOffset === claim?.offset && current.text === text
  }

  const appendAssignments = (): HolderEffect[] => {
    if (claim === undefined || !isHolder()) return []
    const effects: HolderEffect[] = []
    for (const [pool, entry] of desiredPools) {
      const isInFlight = entry.appendedMs !== undefined && clock.nowMs() - entry.appendedMs < ASSIGNMENT_RETRY_MS
      if (isInFlight || isInEffect(pool, entry)) continue
      entry.appendedMs = clock.nowMs()
      const assignment = { pool, claimOffset: claim.offset, sequence: nextSequence++, placements: entry.placements }
      effects.push(append({ kind: LeaseRecordKind.Assignment, assignment }))
    }
    return effects
  }

  const renew = (): HolderEffect[] => {
    if (claim === undefined || clock.nowMs() - lastAppendMs < LEASE_RENEW_INTERVAL_MS) return []
    return [append({ kind: LeaseRecordKind.Renewal, claimOffset: claim.offset })]
  }

  const claimIfSilent = (): HolderEffect[] => {
    const nowMs = clock.nowMs()
    // Without a fresh view of the log, missing records say nothing about the holder.
    const isViewFresh = lastReadMs !== undefined && nowMs - lastReadMs <= LEASE_VIEW_FRESH_MS
    if (!isViewFresh || nowMs - silentSinceMs < claimDelayMs) return []
    restartSilenceTimer()
    return [append({ kind: LeaseRecordKind.Claim, holder: self, supersedes: claim?.offset ?? 0 })]
  }

  const onLogRead = (): HolderEffect[] => {
    const nowMs = clock.nowMs()
    if (lastReadMs === undefined || nowMs - lastReadMs > LEASE_VIEW_FRESH_MS) restartSilenceTimer()
    lastReadMs = nowMs
    return []
  }

  const onPlacementsPlanned = (pool: string, placements: Placement[]): HolderEffect[] => {
    const text = textOfPlacements(placements)
    if (desiredPools.get(pool)?.text === text) return []
    desiredPools.set(pool, { placements, text, appendedMs: undefined })
    return appendAssignments()
  }

  const handlers: HandlerTable<HolderMessage, HolderEffect[]> = {
    [HolderMessageKind.ClaimInEffect]: ({ claim: newClaim }) => onClaim(newClaim),
    [HolderMessageKind.HolderSeen]: () => {
      restartSilenceTimer()
      return []
    },
    [HolderMessageKind.AssignmentAccepted]: ({ assignment: { pool, claimOffset, placements } }) => {
      assigned.set(pool, { claimOffset, text: textOfPlacements(placements) })
      if (claimOffset === claim?.offset) restartSilenceTimer()
      return []
    },
    [HolderMessageKind.LogRead]: onLogRead,
    [HolderMessageKind.GapPersists]: () => [append({ kind: LeaseRecordKind.Restart, holder: self })],
    [HolderMessageKind.PlacementsPlanned]: ({ pool, placements }) => onPlacementsPlanned(pool, placements),
    [HolderMessageKind.PoolRemoved]: ({ pool }) => {
      desiredPools.delete(pool)
      return []
    },
    [HolderMessageKind.Tick]: () => isHolder() ? [...appendAssignments(), ...renew()] : claimIfSilent()
  }

  return { handle: message => dispatch(handlers, message) }
}
