import type { TimestampMs } from '../core/index.js'
import { HOLD_LIMIT_MS, POLL_INTERVAL_MS, RESEND_INTERVAL_MS, STAGE_LIMIT_MS } from './constants.js'
import { copiesBetween, isSameMap } from './expertMap.js'
import { type RoundAssessment, RoundKind } from './assessRound.js'
import {
  type Ballot, compareBallots, type CoordinatorBoundMessage, type RankView, ReleaseChoice, StageProgress, SwitchKind
} from './switchTypes.js'
import type { ExpertMap } from './types.js'

/** Phase of a round of the coordinator. */
export enum Phase {
  Preparing = 'preparing',
  /** Waiting for the content of a map that only ranks have. */
  Fetching = 'fetching',
  Staging = 'staging',
  Holding = 'holding',
  Releasing = 'releasing'
}

/** State of one rank within a round. */
export interface Member {
  rank: number
  view?: RankView
  /** Undefined until the rank has replied to a stage message. */
  progress?: StageProgress
  needsVersionZero: boolean
  /** Whether the rank must load weights for the staged map. */
  hasCopies: boolean
  /** Whether the rank has acknowledged the message of the current phase. */
  isAcked: boolean
  isHeld: boolean
  sentMs: TimestampMs
}

export interface Round {
  ballot: Ballot
  phase: Phase
  phaseStartedMs: TimestampMs
  members: Member[]
  assessment?: RoundAssessment
  target?: ExpertMap
  /** False if the round skipped its prepare phase and relies on the promises of the previous round. */
  isPrepared: boolean
  /** Encoded changes to the target by the hash of their base. */
  encodedChanges: Map<string, Uint8Array>
  choice?: ReleaseChoice
  /** Step of the hold, or the step at which to restart once all ranks have stopped. */
  step: number | null
}

/** Creates a round that has not sent any message yet. */
export const createRound = (ballot: Ballot, ranks: number, nowMs: TimestampMs): Round => ({
  ballot,
  phase: Phase.Preparing,
  phaseStartedMs: nowMs,
  members: Array.from({ length: ranks }, (_member, rank) =>
    ({ rank, needsVersionZero: false, hasCopies: false, isAcked: false, isHeld: false, sentMs: Number.NEGATIVE_INFINITY })),
  isPrepared: true,
  encodedChanges: new Map(),
  step: null
})

/** Enters a phase and clears the acknowledgements of all ranks. */
export const enterPhase = (round: Round, phase: Phase, nowMs: TimestampMs) => {
  round.phase = phase
  round.phaseStartedMs = nowMs
  for (const member of round.members) {
    member.isAcked = false
    member.sentMs = Number.NEGATIVE_INFINITY
  }
}

/** Enters the stage phase and records which ranks must load weights. */
export const enterStaging = (round: Round, base: ExpertMap, target: ExpertMap, nowMs: TimestampMs) => {
  const receivers = new Set(copiesBetween(base, target).map(({ toRank }) => toRank))
  round.target = target
  enterPhase(round, Phase.Staging, nowMs)
  for (const member of round.members) member.hasCopies = receivers.has(member.rank)
}

/** Lowest step that no rank is known to have begun. */
export const lowestUnstartedStep = ({ members }: Round): number =>
  members.reduce((step, { view }) => Math.max(step, view?.nextStep ?? 1), 1)

/**
 * Contents of the release message of one rank. When a round of a predecessor is finished, ranks that were already
 * released keep their map.
 */
export const releaseFor = (round: Round, { view }: Member) => {
  const mapId = round.target?.id ?? round.assessment?.newest ?? { version: 0, hash: '' }
  if (round.choice !== undefined) {
    const kept = round.assessment?.newest ?? mapId
    return { choice: round.choice, mapId: round.choice === ReleaseChoice.Keep ? kept : mapId, step: round.step ?? 0 }
  }
  const isBehind = !isSameMap(view?.latest ?? undefined, mapId)
  return { choice: isBehind ? ReleaseChoice.Adopt : ReleaseChoice.Keep, mapId, step: view?.held?.step ?? 0 }
}

/** Whether a rank is blocked and would suspect a coordinator that sends nothing. */
const isBlocked = ({ view, isHeld }: Member): boolean =>
  isHeld || (view !== undefined && (view.latest === null || view.held !== null))

/** Number of ranks that are loading weights. */
const copyingCount = ({ members }: Round): number =>
  members.filter(({ hasCopies, progress, sentMs }) =>
    hasCopies && progress !== StageProgress.Done && sentMs > Number.NEGATIVE_INFINITY).length

/** Whether the round restarts the group because a rank has no map; the group is stopped meanwhile. */
export const isRestart = ({ assessment }: Round): boolean => assessment?.kind === RoundKind.Restart

/** Whether a rank may begin staging. Copies are limited only while steps run, which they slow down. */
export const canStage = (round: Round, { hasCopies, progress }: Member, movesAtOnceMax: number): boolean =>
  isRestart(round) || !hasCopies || progress !== undefined || copyingCount(round) < movesAtOnceMax

/** Records that a rank has begun the steps before `nextStep`. */
export const recordNextStep = ({ view }: Member, nextStep: number) => {
  if (view !== undefined) view.nextStep = Math.max(view.nextStep, nextStep)
}

/** Whether a message belongs to the round: it carries its ballot or reports that a rank has started. */
export const isForRound = (round: Round, message: CoordinatorBoundMessage): boolean =>
  message.kind === SwitchKind.RankStarted || compareBallots(message.ballot, round.ballot) === 0

const TIME_LIMITS: Partial<Record<Phase, number>> =
  { [Phase.Staging]: STAGE_LIMIT_MS, [Phase.Holding]: HOLD_LIMIT_MS }

/** Whether the current phase has exceeded its time limit, so that the group continues with its map. */
export const isOverdue = (round: Round, nowMs: TimestampMs): boolean => {
  const limitMs = TIME_LIMITS[round.phase]
  return limitMs !== undefined && nowMs - round.phaseStartedMs > limitMs && !isRestart(round)
}

/** Ranks that the coordinator must contact again; stage messages are rate-limited separately. */
export const membersToResend = (round: Round, nowMs: TimestampMs): Member[] => round.members.filter(member => {
  const sinceSentMs = nowMs - member.sentMs
  if (member.isAcked) return isBlocked(member) && sinceSentMs >= POLL_INTERVAL_MS
  return round.phase !== Phase.Staging && sinceSentMs >= RESEND_INTERVAL_MS
})

/** Whether all ranks have acknowledged the current phase. Only tests set `needsAllAcks` to false. */
export const isAcked = ({ members }: Round, needsAllAcks = true): boolean =>
  needsAllAcks ? members.every(member => member.isAcked) : members.some(member => member.isAcked)

/** States of the ranks after all of them were released. */
export const settledViewsOf = (round: Round): RankView[] => {
  const latest = round.choice === ReleaseChoice.Keep || round.target === undefined
    ? round.assessment!.newest!
    : round.target.id
  return round.members.map(({ view }) =>
    ({ incarnation: view!.incarnation, nextStep: lowestUnstartedStep(round), latest, held: null }))
}
