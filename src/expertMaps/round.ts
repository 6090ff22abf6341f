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
  /** Waiting for the content of a map that only ranks know. */
  Fetching = 'fetching',
  Staging = 'staging',
  Holding = 'holding',
  Releasing = 'releasing'
}

/** What a round knows of one rank. */
export interface Member {
  rank: number
  view?: RankView
  /** Undefined until the rank answered a stage message. */
  progress?: StageProgress
  needsVersionZero: boolean
  /** Whether the rank loads weights for the staged map. */
  hasCopies: boolean
  /** Whether the rank answered the message of this phase. */
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
  /** False while the round relies on the promises of the one before. */
  isPrepared: boolean
  /** Encoded changes to the target by the hash of their base. */
  encodedChanges: Map<string, Uint8Array>
  choice?: ReleaseChoice
  /** Step of the hold, or of the restart once all ranks are stopped. */
  step: number | null
}

/** Creates a round that has not asked any rank yet. */
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

/** Enters a phase in which no rank has answered. */
export const enterPhase = (round: Round, phase: Phase, nowMs: TimestampMs) => {
  round.phase = phase
  round.phaseStartedMs = nowMs
  for (const member of round.members) {
    member.isAcked = false
    member.sentMs = Number.NEGATIVE_INFINITY
  }
}

/** Enters the stage phase and notes which ranks must load weights. */
export const enterStaging = (round: Round, base: ExpertMap, target: ExpertMap, nowMs: TimestampMs) => {
  const receivers = new Set(copiesBetween(base, target).map(({ toRank }) => toRank))
  round.target = target
  enterPhase(round, Phase.Staging, nowMs)
  for (const member of round.members) member.hasCopies = receivers.has(member.rank)
}

/** Lowest step that no rank is known to have begun. */
export const lowestUnstartedStep = ({ members }: Round): number =>
  members.reduce((step, { view }) => Math.max(step, view?.nextStep ?? 1), 1)

/** Release of one rank: in a finished round those that were released already only go on. */
export const releaseFor = (round: Round, { view }: Member) => {
  const mapId = round.target?.id ?? round.assessment?.newest ?? { version: 0, hash: '' }
  if (round.choice !== undefined) {
    const kept = round.assessment?.newest ?? mapId
    return { choice: round.choice, mapId: round.choice === ReleaseChoice.Keep ? kept : mapId, step: round.step ?? 0 }
  }
  const isBehind = !isSameMap(view?.latest ?? undefined, mapId)
  return { choice: isBehind ? ReleaseChoice.Adopt : ReleaseChoice.Keep, mapId, step: view?.held?.step ?? 0 }
}

/** Whether a rank is blocked and would suspect a silent coordinator. */
const isBlocked = ({ view, isHeld }: Member): boolean =>
  isHeld || (view !== undefined && (view.latest === null || view.held !== null))

/** Ranks that load weights now. */
const copyingCount = ({ members }: Round): number =>
  members.filter(({ hasCopies, progress, sentMs }) =>
    hasCopies && progress !== StageProgress.Done && sentMs > Number.NEGATIVE_INFINITY).length

/** Whether the round places ranks that have no map; the group stands still meanwhile. */
export const isRestart = ({ assessment }: Round): boolean => assessment?.kind === RoundKind.Restart

/** Whether a rank may begin to stage. Copies are limited only while they slow down steps. */
export const canStage = (round: Round, { hasCopies, progress }: Member, movesAtOnceMax: number): boolean =>
  isRestart(round) || !hasCopies || progress !== undefined || copyingCount(round) < movesAtOnceMax

/** Takes note that a rank has begun the steps before `nextStep`. */
export const recordNextStep = ({ view }: Member, nextStep: number) => {
  if (view !== undefined) view.nextStep = Math.max(view.nextStep, nextStep)
}

/** Whether a message is about the round: it carries its ballot or tells that a rank has started. */
export const isForRound = (round: Round, message: CoordinatorBoundMessage): boolean =>
  message.kind === SwitchKind.RankStarted || compareBallots(message.ballot, round.ballot) === 0

const TIME_LIMITS: Partial<Record<Phase, number>> =
  { [Phase.Staging]: STAGE_LIMIT_MS, [Phase.Holding]: HOLD_LIMIT_MS }

/** Whether a phase takes so long that the group goes on with its map. */
export const isOverdue = (round: Round, nowMs: TimestampMs): boolean => {
  const limitMs = TIME_LIMITS[round.phase]
  return limitMs !== undefined && nowMs - round.phaseStartedMs > limitMs && !isRestart(round)
}

/** Ranks that must hear from the coordinator again; the pace of stage messages is decided elsewhere. */
export const membersToResend = (round: Round, nowMs: TimestampMs): Member[] => round.members.filter(member => {
  const sinceSentMs = nowMs - member.sentMs
  if (member.isAcked) return isBlocked(member) && sinceSentMs >= POLL_INTERVAL_MS
  return round.phase !== Phase.Staging && sinceSentMs >= RESEND_INTERVAL_MS
})

/** Whether all ranks have answered the phase; the weaker condition serves tests only. */
export const isAcked = ({ members }: Round, needsAllAcks = true): boolean =>
  needsAllAcks ? members.every(member => member.isAcked) : members.some(member => member.isAcked)

/** What the ranks look like after all of them were released. */
export const settledViewsOf = (round: Round): RankView[] => {
  const latest = round.choice === ReleaseChoice.Keep || round.target === undefined
    ? round.assessment!.newest!
    : round.target.id
  return round.members.map(({ view }) =>
    ({ incarnation: view!.incarnation, nextStep: lowestUnstartedStep(round), latest, held: null }))
}
